//! Which revision is in force where.

use std::collections;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::text_field;

/// Revision that a member reported last.
#[derive(Clone, Debug)]
pub struct MemberRevision {
    /// Member.
    pub daemon_id: ids::DaemonId,
    /// Where it runs.
    pub location: server_location::ServerLocation,
    /// Revision in its last report.
    pub revision: ids::Revision,
    /// The member table holds it for up. The revision of a member that is not may be old.
    pub reachable: bool,
}

/// Spread of a revision over one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct LocationStatus {
    /// Reachable members that have the revision in force.
    pub in_force: usize,
    /// Reachable members that are behind.
    pub behind: usize,
    /// Members that are not reachable, whatever they reported.
    pub unreachable: usize,
}

/// Member that lacks a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct LaggingMember {
    /// Member.
    #[serde(with = "text_field")]
    pub daemon_id: ids::DaemonId,
    /// Revision in its last report.
    pub revision: ids::Revision,
    /// Whether it is reachable.
    pub reachable: bool,
}

/// Spread of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ChangeStatus {
    /// Revision that is asked for.
    pub revision: ids::Revision,
    /// Every reachable member has it in force. It says nothing about a region that is cut off.
    pub in_force_on_reachable: bool,
    /// Every member has reported it.
    pub in_force_everywhere: bool,
    /// Lowest revision of the reachable members; none without any.
    pub lowest_reachable: Option<ids::Revision>,
    /// Spread by `<region>/<data centre>`.
    pub locations: collections::BTreeMap<String, LocationStatus>,
    /// Members that lack it, at most [`MAX_LAGGING`], in order of their names.
    pub lagging: Vec<LaggingMember>,
}

/// Most members that a status names.
pub const MAX_LAGGING: usize = 32;

/// Returns the spread of a revision over the members.
#[must_use]
pub fn status(revision: ids::Revision, members: &[MemberRevision]) -> ChangeStatus {
    let mut locations: collections::BTreeMap<String, LocationStatus> = collections::BTreeMap::new();
    let mut lagging = Vec::new();
    for member in members {
        let region = ids::text(&member.location.region);
        let data_centre = ids::text(&member.location.data_centre);
        let location = locations.entry(format!("{region}/{data_centre}")).or_default();
        let has_it = member.revision >= revision;
        match (member.reachable, has_it) {
            (true, true) => location.in_force += 1,
            (true, false) => location.behind += 1,
            (false, _) => location.unreachable += 1,
        }
        if !has_it {
            lagging.push(LaggingMember {
                daemon_id: member.daemon_id.clone(),
                revision: member.revision,
                reachable: member.reachable,
            });
        }
    }
    lagging.sort_by(|left, right| left.daemon_id.cmp(&right.daemon_id));
    let reachable = members.iter().filter(|member| member.reachable);
    let in_force_everywhere = !members.is_empty() && lagging.is_empty();
    let lowest_reachable = reachable.map(|member| member.revision).min();
    lagging.truncate(MAX_LAGGING);
    ChangeStatus {
        revision,
        in_force_on_reachable: lowest_reachable.is_some_and(|lowest| lowest >= revision),
        in_force_everywhere,
        lowest_reachable,
        locations,
        lagging,
    }
}
