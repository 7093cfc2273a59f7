//! Output as plain-text tables.

/// Prints rows under a heading, in aligned columns.
pub(crate) fn print_table(heading: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = heading.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let heading: Vec<String> = heading.iter().map(|h| (*h).to_owned()).collect();
    for row in std::iter::once(&heading).chain(rows) {
        let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
