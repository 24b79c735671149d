//! Status of a revision: which members have it in force, by data centre.

use std::collections;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::text_field;

/// Revision that a member reported.
#[derive(Clone, Debug)]
pub struct MemberRevision {
    /// Daemon id of the member.
    pub daemon_id: ids::DaemonId,
    /// Location of the member.
    pub location: server_location::ServerLocation,
    /// Revision in force that the member reported, or 0 without a report.
    pub revision: ids::Revision,
    /// Whether the member could be reached. The revision of a member that could not be reached may be outdated.
    pub reachable: bool,
}

/// Numbers of the members of one data centre that have and that lack a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct LocationStatus {
    /// Reachable members that have the revision, or a later one, in force.
    pub in_force: usize,
    /// Reachable members that have an earlier revision in force.
    pub behind: usize,
    /// Unreachable members, regardless of the revision that they reported.
    pub unreachable: usize,
}

/// Member that has not reported a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct LaggingMember {
    /// Daemon id of the member.
    #[serde(with = "text_field")]
    pub daemon_id: ids::DaemonId,
    /// Revision that the member reported, or 0 without a report.
    pub revision: ids::Revision,
    /// Whether the member could be reached.
    pub reachable: bool,
}

/// Status of a revision over all members.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ChangeStatus {
    /// Revision whose status was requested.
    pub revision: ids::Revision,
    /// Whether every reachable member has the revision in force; false without reachable members. It does not cover a
    /// partitioned region.
    pub in_force_on_reachable: bool,
    /// Whether every member has reported the revision; false without members.
    pub in_force_everywhere: bool,
    /// Lowest revision of the reachable members; `None` without reachable members.
    pub lowest_reachable: Option<ids::Revision>,
    /// Status for each data centre, by `<region>/<data centre>`.
    pub locations: collections::BTreeMap<String, LocationStatus>,
    /// Members that have not reported the revision, at most [`MAX_LAGGING`], in order of their daemon ids.
    pub lagging: Vec<LaggingMember>,
}

/// Maximum number of lagging members in a status.
pub const MAX_LAGGING: usize = 32;

/// Returns the status of a revision over the given members.
#[must_use]
pub fn status(revision: ids::Revision, members: &[MemberRevision]) -> ChangeStatus {
    let mut locations: collections::BTreeMap<String, LocationStatus> = collections::BTreeMap::new();
    let mut lagging = Vec::new();
    for member in members {
        let region = ids::text(&member.location.region);
        let data_centre = ids::text(&member.location.data_centre);
        let location = locations.entry(format!("{region}/{data_centre}")).or_default();
        let is_in_force = member.revision >= revision;
        match (member.reachable, is_in_force) {
            (true, true) => location.in_force += 1,
            (true, false) => location.behind += 1,
            (false, _) => location.unreachable += 1,
        }
        if !is_in_force {
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
