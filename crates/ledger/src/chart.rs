//! A timeline of workers, with runs coloured by how they ended, and the queue above it.

use std::{collections::BTreeMap, time::Duration};

use plotters::prelude::{
    ChartBuilder, Color as _, DrawingArea, IntoDrawingArea as _, LineSeries, RGBColor, Rectangle,
    SVGBackend, WHITE,
};

use crate::book::{Book, End};

/// Width of the picture, and heights of the queue and of one worker's row, in pixels.
const WIDTH: u32 = 1_400;
const QUEUE_HEIGHT: u32 = 160;
const ROW_HEIGHT: u32 = 26;
const MARGIN: u32 = 60;
/// Points at which the queue is counted.
const POINTS: u32 = 400;

const DONE: RGBColor = RGBColor(90, 160, 90);
const URGENT: RGBColor = RGBColor(220, 120, 40);
const CANCELLED: RGBColor = RGBColor(150, 150, 150);
const SLOW: RGBColor = RGBColor(200, 60, 160);
const FAULTY: RGBColor = RGBColor(200, 40, 40);
const GONE: RGBColor = RGBColor(60, 60, 120);
const QUEUE: RGBColor = RGBColor(40, 90, 180);

/// What the drawing library could not do.
pub type Failure = Box<dyn std::error::Error>;

fn colour(end: &End) -> RGBColor {
    match (end.ending.as_str(), end.cause.as_str()) {
        ("DONE", _) => DONE,
        ("FAULTY", _) => FAULTY,
        (_, "urgent") => URGENT,
        (_, "cancelled" | "job-failed") => CANCELLED,
        (_, "slow" | "still") => SLOW,
        _ => GONE,
    }
}

/// Draws a book as SVG.
///
/// # Errors
/// When there is nothing to draw, or the drawing fails.
pub fn draw(book: &Book) -> Result<String, Failure> {
    let (first, last) = book.span.ok_or("no line can be read: there is nothing to draw")?;
    let seconds = (last - first).as_secs_f64().max(1.0);
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for end in book.ends.values() {
        let next = rows.len();
        rows.entry(&end.worker).or_insert(next);
    }
    let height = QUEUE_HEIGHT + MARGIN + ROW_HEIGHT * u32::try_from(rows.len().max(1))?;
    let mut out = String::new();
    {
        let root = SVGBackend::with_string(&mut out, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let (upper, lower) = root.split_vertically(QUEUE_HEIGHT);
        draw_queue(book, &upper, first, seconds)?;
        draw_workers(book, &lower, &rows, first, seconds)?;
        root.present()?;
    }
    Ok(out)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_queue(book: &Book, area: &Area<'_>, first: Duration, seconds: f64) -> Result<(), Failure> {
    let points: Vec<(f64, f64)> = (0..=POINTS)
        .map(|point| seconds * f64::from(point) / f64::from(POINTS))
        .map(|at| (at, waiting(book, first + Duration::from_secs_f64(at))))
        .collect();
    let most = points.iter().map(|(_, count)| *count).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("jobs that wait (above), workers' runs (below)", ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(0)
        .y_label_area_size(MARGIN)
        .build_cartesian_2d(0.0..seconds, 0.0..most)?;
    chart.configure_mesh().disable_x_mesh().y_labels(4).draw()?;
    chart.draw_series(LineSeries::new(points, &QUEUE))?;
    Ok(())
}

/// Jobs that were taken in, are not over, and of which nothing runs.
fn waiting(book: &Book, at: Duration) -> f64 {
    let is_open = |job: &crate::book::Job| {
        let end = job.done.or(job.shown.as_ref().map(|(at, _)| *at));
        job.accepted.is_some_and(|accepted| accepted <= at)
            && end.is_none_or(|end| at < end)
            && !job.is_cancelled
    };
    let runs =
        |id: &str| book.ends_of(id).any(|(run, end)| book.began(run, end) <= at && at < end.at);
    let open = book.jobs.iter().filter(|(id, job)| is_open(job) && !runs(id));
    open.count() as f64
}

fn draw_workers(
    book: &Book,
    area: &Area<'_>,
    rows: &BTreeMap<&str, usize>,
    first: Duration,
    seconds: f64,
) -> Result<(), Failure> {
    let names: BTreeMap<usize, &str> = rows.iter().map(|(name, row)| (*row, *name)).collect();
    let label = |row: &f64| {
        let at = row.floor() as usize;
        names.get(&at).copied().unwrap_or_default().to_owned()
    };
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(MARGIN * 2)
        .build_cartesian_2d(0.0..seconds, 0.0..rows.len().max(1) as f64)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len().max(1))
        .y_label_formatter(&label)
        .x_desc("seconds from the first line")
        .draw()?;
    let offset = |at: Duration| at.saturating_sub(first).as_secs_f64();
    let bars = book.ends.iter().map(|(run, end)| {
        let row = rows[end.worker.as_str()] as f64;
        let (from, to) = (offset(book.began(run, end)), offset(end.at));
        Rectangle::new([(from, row + 0.1), (to, row + 0.9)], colour(end).mix(0.5).filled())
    });
    chart.draw_series(bars)?;
    Ok(())
}
