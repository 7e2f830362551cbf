//! Line-by-line difference between two rule files.

/// Returns the difference in unified format; empty if the files are equal.
pub fn unified(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    similar::TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(1)
        .header(old_name, new_name)
        .to_string()
}
