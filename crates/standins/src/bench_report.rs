//! Prints measurements as JSON lines and collects fitted slopes in a Markdown table.

use std::fmt::Write;

use serde_json::json;

use crate::bench_fit;

/// Output of the measurements of one scenario.
#[derive(Debug)]
pub struct BenchReport {
    scenario: &'static str,
    seed: u64,
    table: String,
}

/// Commands.
impl BenchReport {
    /// Creates a report; the scenario and the seed are part of each printed line.
    #[must_use]
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            table: "| slope | unit | points | at zero | per unit | residual spread |\n|---|---|---|---|---|---|\n"
                .to_owned(),
        }
    }

    /// Prints one value; `fields` is an object whose fields are added to the line.
    pub fn value(&self, arm: &str, metric: &str, value: f64, unit: &str, fields: &serde_json::Value) {
        let mut line = json!({
            "scenario": self.scenario, "arm": arm, "metric": metric, "value": rounded(value), "unit": unit,
            "seed": self.seed,
        });
        if let (Some(line), Some(fields)) = (line.as_object_mut(), fields.as_object()) {
            line.extend(fields.clone());
        }
        println!("{line}");
    }

    /// Prints the median of repeated measurements with minimum and maximum, and whether the median is at or below the
    /// target, if any; prints nothing without values.
    pub fn median(
        &self,
        arm: &str,
        metric: &str,
        values: &[f64],
        target: Option<f64>,
        unit: &str,
        fields: &serde_json::Value,
    ) {
        let Some(spread) = bench_fit::spread(values) else {
            return;
        };
        let mut fields = fields.clone();
        fields["min"] = json!(rounded(spread.min));
        fields["max"] = json!(rounded(spread.max));
        fields["repeats"] = json!(values.len());
        if let Some(target) = target {
            fields["target"] = json!(target);
            fields["reached"] = json!(spread.median <= target);
        }
        self.value(arm, metric, spread.median, unit, &fields);
    }

    /// Fits a line to measured points, prints it and adds it to the table; does nothing with fewer than two distinct x.
    pub fn slope(&mut self, arm: &str, metric: &str, points: &[(f64, f64)], unit: &str) {
        let Some(fit) = bench_fit::fit(points) else {
            return;
        };
        let rounded_points: Vec<[f64; 2]> = points.iter().map(|point| [point.0, rounded(point.1)]).collect();
        let fields = json!({
            "at_zero": rounded(fit.intercept), "residual": rounded(fit.residual), "points": rounded_points,
        });
        self.value(arm, metric, fit.slope, unit, &fields);
        // Writing to a String can't fail.
        let _ = writeln!(
            self.table,
            "| {metric} ({arm}) | {unit} | {} | {} | {} | {} |",
            points.len(),
            rounded(fit.intercept),
            rounded(fit.slope),
            rounded(fit.residual)
        );
    }
}

/// Queries.
impl BenchReport {
    /// Returns the slopes as a Markdown table.
    #[must_use]
    pub fn table(&self) -> &str {
        &self.table
    }
}

/// Rounds to four decimal places, which is finer than the spread of any measurement here.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
