//! Admission levels: priorities that determine the order in which calls are shed under overload.

use bytes::Bytes;
use xxhash_rust::xxh3;

/// Highest importance; reserved for critical classes.
pub const MAX_IMPORTANCE: u8 = 15;
/// Number of cohorts within one importance.
pub const COHORT_COUNT: u8 = 128;

/// Priority of a call, or the lowest priority that a server admits.
///
/// Levels are ordered by importance first and cohort second; calls of a higher level are shed later. The pair follows
/// "Overload Control for Scaling `WeChat` Microservices" (Zhou et al., `SoCC` 2018).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AdmissionLevel {
    /// At most [`MAX_IMPORTANCE`].
    pub importance: u8,
    /// Below [`COHORT_COUNT`]. All calls of one request have the same cohort, so that they are shed together.
    pub cohort: u8,
}

impl AdmissionLevel {
    /// The level that admits every call.
    pub const LOWEST: Self = Self {
        importance: 0,
        cohort: 0,
    };

    /// Returns the level of a request, from the importance of its class and a hash of its root request id.
    #[must_use]
    pub fn of_request(importance: u8, request_id: &Bytes) -> Self {
        let hash = xxh3::xxh3_64(request_id);
        Self {
            importance: importance.min(MAX_IMPORTANCE),
            cohort: u8::try_from(hash % u64::from(COHORT_COUNT)).unwrap_or(0),
        }
    }

    /// Returns the position of the level in a table of all levels, lowest first.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.importance) * usize::from(COHORT_COUNT) + usize::from(self.cohort)
    }

    /// Returns the level at a position given by [`Self::index`]; positions past the end give the highest level.
    #[must_use]
    pub fn from_index(index: usize) -> Self {
        let count = usize::from(COHORT_COUNT);
        let importance = u8::try_from(index / count).unwrap_or(MAX_IMPORTANCE);
        if importance > MAX_IMPORTANCE {
            return Self {
                importance: MAX_IMPORTANCE,
                cohort: COHORT_COUNT - 1,
            };
        }
        Self {
            importance,
            cohort: u8::try_from(index % count).unwrap_or(0),
        }
    }
}
