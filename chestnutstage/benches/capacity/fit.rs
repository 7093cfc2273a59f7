//! Least-squares fit of a straight line.

/// A straight line fitted to measured points.
pub(crate) struct Fit {
    base: f64,
    slope: f64,
    /// Root mean square error.
    error: f64,
    points: Vec<(f64, f64)>,
}

impl Fit {
    /// Fits a line to `points`; panics if there are fewer than three.
    pub(crate) fn of(points: &[(f64, f64)]) -> Self {
        assert!(points.len() >= 3, "a fit needs at least three points");
        let count = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let squares: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / squares;
        let base = y - slope * x;
        let error = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum::<f64>() / count;
        Self { base, slope, error: error.sqrt(), points: points.to_vec() }
    }

    /// Value at `x`: the measured value if `x` is a measured size, else the value of the line, at least 0.
    pub(crate) fn at(&self, x: f64) -> f64 {
        let measured = self.points.iter().find(|p| (p.0 - x).abs() < 0.5);
        measured.map_or_else(|| (self.base + self.slope * x).max(0.0), |p| p.1)
    }

    /// Formats the line and its error.
    pub(crate) fn line(&self, unit: &str) -> String {
        let n = |v| number(v, unit);
        format!("{} + {} × n (± {})", n(self.base), n(self.slope), n(self.error))
    }

    /// Formats the measured points.
    pub(crate) fn points(&self, unit: &str) -> String {
        let point = |(x, y): &(f64, f64)| format!("{x:.0}: {}", number(*y, unit));
        self.points.iter().map(point).collect::<Vec<_>>().join(", ")
    }
}

fn number(value: f64, unit: &str) -> String {
    match unit {
        "s" | "s/s" => format!("{:.3} µ{unit}", value * 1e6),
        _ => format!("{value:.1} {unit}"),
    }
}
