//! Weighted selection of one target of a route.

use damasktrack_entity::ids;

use crate::route_config;

/// Smooth weighted round robin over the targets of one route.
///
/// A round has as many requests as the sum of the weights and selects each target exactly as often as its weight. The
/// shares of a daemon are thus exact after few requests, whereas a random choice needs hundreds.
#[derive(Clone, Debug, Default)]
pub struct WeightedChoice {
    targets: Vec<route_config::RouteTarget>,
    /// Current credit of each target; the sum is 0 after each choice.
    credits: Vec<i64>,
}

impl WeightedChoice {
    /// Returns the service of the next target; `None` if all weights are 0. A change of the targets or weights starts a
    /// new round.
    pub fn next(&mut self, targets: &[route_config::RouteTarget]) -> Option<ids::ServiceName> {
        if self.targets != targets {
            self.targets = targets.to_vec();
            self.credits = vec![0; targets.len()];
        }
        let total: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, target) in self.credits.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
        }
        let (chosen, credit) = self
            .credits
            .iter_mut()
            .enumerate()
            .max_by_key(|(_index, credit)| **credit)?;
        *credit -= total;
        Some(targets[chosen].service.clone())
    }
}
