//! Requests and counts of a run, and the figures computed from them.

use std::collections;
use std::time;

use crate::scenario_file;

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest {
    /// Position of the class.
    pub class: usize,
    /// Position of the tenant.
    pub tenant: usize,
    /// When the caller first sent it, since the start of the run.
    pub started: time::Duration,
    /// When it ended.
    pub ended: time::Duration,
    /// Whether the caller got the response of the whole call chain within its deadline.
    pub completed: bool,
    /// Greatest number of times that one of its calls was sent to a service.
    pub most_attempts: u32,
}

/// Ended requests and counts of a run.
#[derive(Debug, Default)]
pub struct WorldTally {
    /// All requests that have ended.
    pub requests: Vec<EndedRequest>,
    /// Calls sent to services, and pairs of request and service among them.
    pub attempts: (u64, u64),
    /// Refusals by reason.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Start and end of the measured span, since the start of the run.
    pub measure: (time::Duration, time::Duration),
}

/// Selection of the requests that a figure covers; the default covers all.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFilter {
    /// Only this class.
    pub class: Option<usize>,
    /// Only this tenant.
    pub tenant: Option<usize>,
}

impl WorldTally {
    /// Returns the requests that started within a span.
    pub fn started(
        &self,
        filter: RequestFilter,
        span: (time::Duration, time::Duration),
    ) -> impl Iterator<Item = &EndedRequest> {
        self.requests.iter().filter(move |request| {
            filter.class.is_none_or(|class| class == request.class)
                && filter.tenant.is_none_or(|tenant| tenant == request.tenant)
                && (span.0..span.1).contains(&request.started)
        })
    }

    /// Returns the share of the requests started within a span that completed; 1 if there are none.
    #[must_use]
    pub fn completed_ratio(&self, filter: RequestFilter, span: (time::Duration, time::Duration)) -> f64 {
        let (mut count, mut completed) = (0_u32, 0_u32);
        for request in self.started(filter, span) {
            count += 1;
            completed += u32::from(request.completed);
        }
        if count == 0 {
            1.0
        } else {
            f64::from(completed) / f64::from(count)
        }
    }

    /// Returns a quantile of the time that completed requests started within a span took, in seconds.
    #[must_use]
    pub fn latency(&self, filter: RequestFilter, span: (time::Duration, time::Duration), quantile: f64) -> f64 {
        let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new_with_max(100_000_000, 3) else {
            return 0.0;
        };
        for request in self.started(filter, span).filter(|request| request.completed) {
            let taken = request.ended.saturating_sub(request.started);
            histogram.saturating_record(u64::try_from(taken.as_micros()).unwrap_or(u64::MAX));
        }
        histogram.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Returns the completions per second within a span.
    #[must_use]
    pub fn goodput(&self, filter: RequestFilter, span: (time::Duration, time::Duration)) -> f64 {
        let all = (time::Duration::ZERO, time::Duration::MAX);
        let ended = self
            .started(filter, all)
            .filter(|request| request.completed && (span.0..span.1).contains(&request.ended));
        ended.count() as f64 / span.1.saturating_sub(span.0).as_secs_f64()
    }

    /// Returns the mean number of times that a call of a request was sent to a service.
    #[must_use]
    pub fn mean_attempts(&self) -> f64 {
        self.attempts.0 as f64 / self.attempts.1.max(1) as f64
    }

    /// Returns the greatest number of times that a call of a request was sent to a service.
    #[must_use]
    pub fn most_attempts(&self) -> u32 {
        self.requests
            .iter()
            .map(|request| request.most_attempts)
            .max()
            .unwrap_or(0)
    }

    /// Returns a figure by its name in scenario files.
    #[must_use]
    pub fn figure(&self, name: &str, filter: RequestFilter) -> Option<f64> {
        Some(match name {
            "completed" => self.completed_ratio(filter, self.measure),
            "goodput" => self.goodput(filter, self.measure),
            "p50" => self.latency(filter, self.measure, 0.5),
            "p99" => self.latency(filter, self.measure, 0.99),
            "attempts" => self.mean_attempts(),
            "most-attempts" => f64::from(self.most_attempts()),
            _ => return None,
        })
    }

    /// Returns the time after `end` until completed share and latency are those of a run without the disturbance.
    ///
    /// Windows of 1 s are compared: the completed share has to be at least 98% of the least one of `baseline`, and the
    /// p99 at most 1.1 times the greatest one, and this has to hold for the rest of the run.
    #[must_use]
    pub fn recovery(&self, baseline: &Self, end: time::Duration, last: time::Duration) -> Option<time::Duration> {
        let (step, width) = (time::Duration::from_millis(100), time::Duration::from_secs(1));
        let filter = RequestFilter::default();
        let figures = |tally: &Self, at: time::Duration| {
            let span = (at, at + width);
            (tally.completed_ratio(filter, span), tally.latency(filter, span, 0.99))
        };
        let (mut low, mut high) = (1.0_f64, 0.0_f64);
        let mut at = width;
        while at + width <= last {
            let (ratio, latency) = figures(baseline, at);
            low = low.min(ratio);
            high = high.max(latency);
            at += step;
        }
        let mut recovered = None;
        at = end;
        while at + width <= last {
            let (ratio, latency) = figures(self, at);
            let normal = ratio >= low * 0.98 && latency <= high * 1.1;
            recovered = if normal {
                recovered.or(Some(at.saturating_sub(end)))
            } else {
                None
            };
            at += step;
        }
        recovered
    }
}

/// Returns the expectations that a run did not meet.
#[must_use]
pub fn unmet(scenario: &scenario_file::Scenario, tally: &WorldTally) -> Vec<String> {
    let mut unmet = Vec::new();
    for expectation in &scenario.expectations {
        let filter = RequestFilter {
            class: expectation.class,
            tenant: expectation.tenant,
        };
        let Some(value) = tally.figure(&expectation.figure, filter) else {
            unmet.push(format!("line {}: no figure '{}'", expectation.line, expectation.figure));
            continue;
        };
        let met = if expectation.at_least {
            value >= expectation.bound
        } else {
            value <= expectation.bound
        };
        if !met {
            unmet.push(format!(
                "line {}: {} is {value:.4}, bound {}",
                expectation.line, expectation.figure, expectation.bound
            ));
        }
    }
    unmet
}
