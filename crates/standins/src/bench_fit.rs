//! Least-squares fit of a line, and the spread of repeated measurements.

/// Line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Increase of the line per unit of x.
    pub slope: f64,
    /// Residual standard deviation of the points; zero, but for rounding, for two points.
    pub residual: f64,
}

/// Fits a line to points (x, y); `None` for fewer than two distinct x.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || sum_of_squares <= 0.0 {
        return None;
    }
    let sum_of_products: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = sum_of_products / sum_of_squares;
    let intercept = mean_y - slope * mean_x;
    let squared_error: f64 = points
        .iter()
        .map(|point| (point.1 - intercept - slope * point.0).powi(2))
        .sum();
    // The two fitted parameters use up two degrees of freedom.
    let degrees_of_freedom = (count - 2.0).max(1.0);
    Some(LineFit {
        intercept,
        slope,
        residual: (squared_error / degrees_of_freedom).sqrt(),
    })
}

/// Median, minimum and maximum of several values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueSpread {
    /// Median; the mean of the two middle values for an even count.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

/// Returns the spread of values; `None` for an empty slice.
#[must_use]
pub fn spread(values: &[f64]) -> Option<ValueSpread> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (min, max) = (*sorted.first()?, *sorted.last()?);
    let middle = sorted.len() / 2;
    let median = if sorted.len().is_multiple_of(2) {
        f64::midpoint(sorted[middle - 1], sorted[middle])
    } else {
        sorted[middle]
    };
    Some(ValueSpread { median, min, max })
}
