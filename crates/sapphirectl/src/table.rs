//! Plain-text tables.

use serde_json::Value;

/// Formats the value of one cell.
fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Prints a header and one line for each row, with aligned columns. The columns are keys of the
/// rows.
pub fn print(columns: &[&str], rows: &[Value]) {
    let mut lines = vec![columns.iter().map(|name| name.to_uppercase()).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|name| text(&row[*name])).collect());
    }
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
