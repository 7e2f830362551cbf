//! SVG timeline of the workers, with runs coloured by how they ended, below a chart of the number
//! of waiting jobs.

use std::{collections::BTreeMap, time::Duration};

use plotters::prelude::{
    ChartBuilder, Color as _, DrawingArea, IntoDrawingArea as _, LineSeries, RGBColor, Rectangle,
    SVGBackend, WHITE,
};

use crate::history::{End, History};

/// Width of the picture in pixels.
const WIDTH: u32 = 1_400;
/// Height of the chart of waiting jobs in pixels.
const QUEUE_HEIGHT: u32 = 160;
/// Height of one worker's row in pixels.
const ROW_HEIGHT: u32 = 26;
/// Space for axis labels in pixels.
const MARGIN: u32 = 60;
/// Number of intervals between the times at which waiting jobs are counted.
const QUEUE_INTERVALS: u32 = 400;

const DONE: RGBColor = RGBColor(90, 160, 90);
const URGENT: RGBColor = RGBColor(220, 120, 40);
const CANCELLED: RGBColor = RGBColor(150, 150, 150);
const SLOW: RGBColor = RGBColor(200, 60, 160);
const FAULTY: RGBColor = RGBColor(200, 40, 40);
const OTHER: RGBColor = RGBColor(60, 60, 120);
const QUEUE: RGBColor = RGBColor(40, 90, 180);

/// Error of the drawing library, or the reason why there is nothing to draw.
pub type Failure = Box<dyn std::error::Error>;

fn colour(end: &End) -> RGBColor {
    match (end.ending.as_str(), end.cause.as_str()) {
        ("DONE", _) => DONE,
        ("FAULTY", _) => FAULTY,
        (_, "urgent") => URGENT,
        (_, "cancelled" | "job-failed") => CANCELLED,
        (_, "slow" | "still") => SLOW,
        _ => OTHER,
    }
}

/// Draws the timeline of a history as SVG.
///
/// # Errors
/// If no line could be read, or if drawing fails.
pub fn draw(history: &History) -> Result<String, Failure> {
    let (first, last) = history.span.ok_or("no line can be read: there is nothing to draw")?;
    let seconds = (last - first).as_secs_f64().max(1.0);
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for end in history.ends.values() {
        let next = rows.len();
        rows.entry(&end.worker).or_insert(next);
    }
    let height = QUEUE_HEIGHT + MARGIN + ROW_HEIGHT * u32::try_from(rows.len().max(1))?;
    let mut out = String::new();
    {
        let root = SVGBackend::with_string(&mut out, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let (upper, lower) = root.split_vertically(QUEUE_HEIGHT);
        draw_queue(history, &upper, first, seconds)?;
        draw_workers(history, &lower, &rows, first, seconds)?;
        root.present()?;
    }
    Ok(out)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_queue(
    history: &History,
    area: &Area<'_>,
    first: Duration,
    seconds: f64,
) -> Result<(), Failure> {
    let points: Vec<(f64, f64)> = (0..=QUEUE_INTERVALS)
        .map(|point| seconds * f64::from(point) / f64::from(QUEUE_INTERVALS))
        .map(|at| (at, count_waiting(history, first + Duration::from_secs_f64(at))))
        .collect();
    let max = points.iter().map(|(_, count)| *count).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("jobs that wait (above), workers' runs (below)", ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(0)
        .y_label_area_size(MARGIN)
        .build_cartesian_2d(0.0..seconds, 0.0..max)?;
    chart.configure_mesh().disable_x_mesh().y_labels(4).draw()?;
    chart.draw_series(LineSeries::new(points, &QUEUE))?;
    Ok(())
}

/// Returns the number of jobs that were accepted, have not ended and have no active run at a time.
fn count_waiting(history: &History, at: Duration) -> f64 {
    let is_unfinished = |job: &crate::history::Job| {
        let end = job.tasks_done.or(job.published.as_ref().map(|(at, _)| *at));
        job.accepted.is_some_and(|accepted| accepted <= at)
            && end.is_none_or(|end| at < end)
            && !job.is_cancelled
    };
    let is_running =
        |id: &str| history.runs(id).any(|(run, end)| history.start(run, end) <= at && at < end.at);
    let waiting = history.jobs.iter().filter(|(id, job)| is_unfinished(job) && !is_running(id));
    waiting.count() as f64
}

fn draw_workers(
    history: &History,
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
    let bars = history.ends.iter().map(|(run, end)| {
        let row = rows[end.worker.as_str()] as f64;
        let (from, to) = (offset(history.start(run, end)), offset(end.at));
        Rectangle::new([(from, row + 0.1), (to, row + 0.9)], colour(end).mix(0.5).filled())
    });
    chart.draw_series(bars)?;
    Ok(())
}
