//! Simulation of operators that make concurrent changes through several daemons, and of a table service with faults,
//! with an oracle that checks the configuration of each daemon, the log and the reported outcomes.

use std::collections;
use std::sync::Arc;

use bolero::TypeGenerator;
use bytes::Bytes;
use damasktrack_resource::change_log::{ConfigChange, ConfigSnapshot, ResourceEdit};
use damasktrack_resource::change_plan::{
    ChangeAttempt, ChangeRequest, CommitReply, ExpectedVersion, PlanReads, PlanStep, PlannedChange, RequestedEdit,
    SettleStep,
};
use damasktrack_resource::config_log::{ApplyStep, ChangeFeed, ConfigLog};
use damasktrack_resource::resource_document::{Resource, ResourceKey, ResourceKind, TenantSpec};
use damasktrack_resource::resource_set::ResourceSet;
use damasktrack_resource::store_rows::{self, StoredRow, TableCommit};

const DAEMONS: usize = 3;
const MAX_CHANGES: usize = 4;

/// Mechanism that the simulation disables, so that the oracle must report a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A log installs older snapshots as well.
    AcceptOlderSnapshot,
    /// A log applies a change although earlier changes are missing.
    AcceptChangeGap,
    /// The transaction has no condition on head and change row.
    NoHeadCondition,
    /// The row of the change id is neither read nor a condition.
    NoChangeId,
    /// The row of the change id is read before the head.
    ChangeIdReadFirst,
    /// A commit without a response does not count as one that may have committed, so that the change may be reported as
    /// not accepted.
    ForgetUnsettledCommit,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum CommitFault {
    None,
    Down,
    LoseRequest,
    LoseAnswer,
    WriteLate,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub enum Operation {
    /// Daemon, tenant, edit and expected version.
    Request(u8, u8, u8, u8),
    Read(u8),
    Plan(u8),
    Commit(u8, CommitFault),
    /// Attempt, fault selector and fault: read, plan and commit without another operation in between. The fault occurs
    /// only if the selector is at least 192.
    Complete(u8, u8, CommitFault),
    GiveUp(u8),
    LateWrite(u8),
    CatchUp(u8),
    /// Daemon and change.
    Push(u8, u8),
    /// Sending and receiving daemon.
    Feed(u8, u8),
    SaveSnapshot(u8),
    /// Daemon and saved snapshot.
    Snapshot(u8, u8),
    Restart(u8),
}

/// Change by an operator at a daemon.
struct Attempt {
    daemon: usize,
    change: ChangeAttempt,
    reads: Option<PlanReads>,
    planned: Option<PlannedChange>,
    outcome: Option<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Accepted(u64),
    /// Not accepted, a conflict or invalid: the change must never be in the log.
    Rejected,
    Unsettled,
}

#[derive(Default)]
struct Store {
    rows: collections::BTreeMap<(String, String), StoredRow<serde_json::Value>>,
    commits: u64,
    /// Committed changes in order, recorded independently of the rows.
    log: Vec<ConfigChange>,
}

pub struct World {
    fault: Fault,
    store: Store,
    late_writes: Vec<PlannedChange>,
    daemons: Vec<ConfigLog>,
    /// Highest revision that was in force at each daemon.
    highest_revisions: [u64; DAEMONS],
    attempts: Vec<Attempt>,
    snapshots: Vec<ConfigSnapshot>,
}

impl Store {
    fn read<T: serde::de::DeserializeOwned>(&self, table: &str, key: &str) -> Option<StoredRow<T>> {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        let value = serde_json::from_value(row.value.clone()).unwrap();
        Some(StoredRow {
            value,
            version: row.version,
        })
    }

    fn commit(&mut self, commit: &TableCommit, change: &ConfigChange) -> bool {
        let holds = |condition: &store_rows::RowCondition| {
            let row = self.rows.get(&(condition.table.clone(), condition.key.clone()));
            row.map_or(0, |row| row.version) == condition.version
        };
        if !commit.conditions.iter().all(holds) {
            return false;
        }
        self.commits += 1;
        for write in &commit.writes {
            let key = (write.table.clone(), write.key.clone());
            if write.value.is_null() {
                self.rows.remove(&key);
            } else {
                let value = write.value.clone();
                let version = self.commits;
                self.rows.insert(key, StoredRow { value, version });
            }
        }
        self.log.push(change.clone());
        true
    }

    fn head(&self) -> u64 {
        let head = self.read::<store_rows::HeadRow>(store_rows::HEAD_TABLE, store_rows::HEAD_KEY);
        head.map_or(0, |row| row.value.revision)
    }
}

fn index_of(daemon: u8) -> usize {
    usize::from(daemon) % DAEMONS
}

fn tenant(name: u8) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Tenant,
        name: Bytes::from(format!("t{}", name % 3)),
    }
}

/// Number of attempts by outcome and of committed changes. A run proves something only if all of them occur often.
pub type Coverage = collections::BTreeMap<&'static str, usize>;

/// Runs the operations and returns the first violation that the oracle reports.
pub fn check(fault: Fault, operations: &[Operation], coverage: &mut Coverage) -> Result<(), String> {
    let mut world = World {
        fault,
        store: Store::default(),
        late_writes: Vec::new(),
        daemons: (0..DAEMONS).map(|_| ConfigLog::new(MAX_CHANGES)).collect(),
        highest_revisions: [0; DAEMONS],
        attempts: Vec::new(),
        snapshots: Vec::new(),
    };
    for operation in operations {
        world.step(*operation);
        world.check_daemons()?;
    }
    for planned in std::mem::take(&mut world.late_writes) {
        world.store.commit(&planned.commit, &planned.change);
    }
    for attempt in &world.attempts {
        let outcome = match attempt.outcome {
            Some(Outcome::Accepted(_)) => "accepted",
            Some(Outcome::Rejected) => "rejected",
            Some(Outcome::Unsettled) => "unsettled",
            None => "open",
        };
        *coverage.entry(outcome).or_default() += 1;
    }
    *coverage.entry("committed").or_default() += world.store.log.len();
    world.check_store()
}

impl World {
    fn step(&mut self, operation: Operation) {
        match operation {
            Operation::Request(daemon, name, edit, expected) => self.request(index_of(daemon), name, edit, expected),
            Operation::Read(pick) => {
                if let Some(index) = self.open_attempt(pick, |attempt| attempt.planned.is_none()) {
                    self.read(index);
                }
            }
            Operation::Plan(pick) => {
                if let Some(index) = self.open_attempt(pick, |attempt| attempt.reads.is_some()) {
                    self.plan(index);
                }
            }
            Operation::Commit(pick, fault) => {
                if let Some(index) = self.open_attempt(pick, |attempt| attempt.planned.is_some()) {
                    self.commit(index, fault);
                }
            }
            Operation::Complete(pick, selector, fault) => {
                let fault = if selector < 192 { CommitFault::None } else { fault };
                if let Some(index) = self.open_attempt(pick, |attempt| attempt.planned.is_none()) {
                    self.catch_up(self.attempts[index].daemon);
                    self.read(index);
                    self.plan(index);
                    if self.attempts[index].planned.is_some() {
                        self.commit(index, fault);
                    }
                }
            }
            Operation::GiveUp(pick) => {
                if let Some(index) = self.open_attempt(pick, |attempt| attempt.planned.is_none()) {
                    let step = self.attempts[index].change.give_up();
                    self.settle(index, &step);
                }
            }
            Operation::LateWrite(pick) => {
                if !self.late_writes.is_empty() {
                    let planned = self.late_writes.remove(usize::from(pick) % self.late_writes.len());
                    self.store.commit(&planned.commit, &planned.change);
                }
            }
            Operation::CatchUp(daemon) => self.catch_up(index_of(daemon)),
            Operation::Push(daemon, pick) => {
                if !self.store.log.is_empty() {
                    let change = self.store.log[usize::from(pick) % self.store.log.len()].clone();
                    self.apply(index_of(daemon), &Arc::new(change));
                }
            }
            Operation::Feed(from, to) => {
                let to = index_of(to);
                let feed = self.daemons[index_of(from)].changes_after(self.daemons[to].revision());
                match feed {
                    ChangeFeed::UpToDate => {}
                    ChangeFeed::Changes(changes) => changes.into_iter().for_each(|change| self.apply(to, &change)),
                    ChangeFeed::Snapshot(snapshot) => self.install(to, &snapshot),
                }
            }
            Operation::SaveSnapshot(daemon) => {
                let snapshot = self.daemons[index_of(daemon)].set().snapshot();
                self.snapshots.push(snapshot);
            }
            Operation::Snapshot(daemon, pick) => {
                if !self.snapshots.is_empty() {
                    let snapshot = self.snapshots[usize::from(pick) % self.snapshots.len()].clone();
                    self.install(index_of(daemon), &snapshot);
                }
            }
            Operation::Restart(daemon) => {
                // A starting daemon is not ready, and puts nothing in force, before it has caught up with the store.
                let daemon = index_of(daemon);
                self.daemons[daemon] = ConfigLog::new(MAX_CHANGES);
                self.catch_up(daemon);
            }
        }
    }

    fn open_attempt(&self, pick: u8, ready: impl Fn(&Attempt) -> bool) -> Option<usize> {
        let open = |entry: &(usize, &Attempt)| entry.1.outcome.is_none() && ready(entry.1);
        let indices = self.attempts.iter().enumerate().filter(open);
        let indices: Vec<_> = indices.map(|entry| entry.0).collect();
        (!indices.is_empty()).then(|| indices[usize::from(pick) % indices.len()])
    }

    fn request(&mut self, daemon: usize, name: u8, edit: u8, expected: u8) {
        let key = tenant(name);
        let version = self.daemons[daemon].set().version(&key);
        let spec = TenantSpec {
            name: key.name.clone(),
            weight: u32::from(edit) + 1,
        };
        let requested = RequestedEdit {
            edit: ResourceEdit {
                key,
                resource: (edit >= 40).then_some(Resource::Tenant(spec)),
            },
            expected: match expected % 4 {
                0 => ExpectedVersion::Any,
                _ if version == 0 => ExpectedVersion::Absent,
                _ => ExpectedVersion::Exactly(version),
            },
        };
        self.attempts.push(Attempt {
            daemon,
            change: ChangeAttempt::new(ChangeRequest {
                change_id: format!("change-{}", self.attempts.len()),
                operator: "op".to_owned(),
                edits: vec![requested],
                dry_run: false,
            }),
            reads: None,
            planned: None,
            outcome: None,
        });
    }

    /// Reads the rows one by one. A late write of the same attempt may take effect in between.
    fn read(&mut self, index: usize) {
        let request = self.attempts[index].change.request().clone();
        let early_change_id = self.store.read(store_rows::CHANGE_ID_TABLE, &request.change_id);
        let mut reads = PlanReads::default();
        let late_index = self
            .late_writes
            .iter()
            .position(|planned| planned.change.change_id == request.change_id);
        let (late_write, change_id_first) = (
            late_index.map(|position| self.late_writes.remove(position)),
            self.fault == Fault::ChangeIdReadFirst,
        );
        if let Some(planned) = late_write {
            let committed = self.store.commit(&planned.commit, &planned.change);
            if committed && change_id_first {
                // The push of the committed change arrives immediately.
                self.apply(self.attempts[index].daemon, &Arc::new(planned.change));
            }
        }
        reads.head = self.store.read(store_rows::HEAD_TABLE, store_rows::HEAD_KEY);
        for edit in &request.edits {
            let row = store_rows::resource_key(&edit.edit.key);
            let found = self.store.read::<serde_json::Value>(store_rows::RESOURCE_TABLE, &row);
            reads.row_versions.push(found.map_or(0, |row| row.version));
        }
        reads.change_id = self.store.read(store_rows::CHANGE_ID_TABLE, &request.change_id);
        match self.fault {
            Fault::ChangeIdReadFirst => reads.change_id = early_change_id,
            Fault::NoChangeId => reads.change_id = None,
            _ => {}
        }
        self.attempts[index].reads = Some(reads);
    }

    fn plan(&mut self, index: usize) {
        let reads = self.attempts[index].reads.take().unwrap();
        let daemon = self.attempts[index].daemon;
        match self.attempts[index].change.plan(self.daemons[daemon].set(), &reads) {
            PlanStep::Commit(mut planned) => {
                let unchecked: &[&str] = match self.fault {
                    Fault::NoHeadCondition => &[store_rows::HEAD_TABLE, store_rows::CHANGE_TABLE],
                    Fault::NoChangeId => &[store_rows::CHANGE_ID_TABLE],
                    _ => &[],
                };
                planned
                    .commit
                    .conditions
                    .retain(|condition| !unchecked.contains(&condition.table.as_str()));
                self.attempts[index].planned = Some(*planned);
            }
            PlanStep::Accepted(revision) => self.attempts[index].outcome = Some(Outcome::Accepted(revision)),
            PlanStep::CatchUp(_) => self.catch_up(daemon),
            PlanStep::Reread => {}
            PlanStep::Conflict(conflicts) => {
                let set = self.daemons[daemon].set();
                assert!(
                    conflicts
                        .iter()
                        .all(|conflict| conflict.current == set.version(&conflict.key))
                );
                self.attempts[index].outcome = Some(Outcome::Rejected);
            }
            step => panic!("unexpected step {step:?}"),
        }
    }

    fn commit(&mut self, index: usize, fault: CommitFault) {
        let planned = self.attempts[index].planned.take().unwrap();
        let reply = match fault {
            CommitFault::None | CommitFault::LoseAnswer => {
                let committed = self.store.commit(&planned.commit, &planned.change);
                match (committed, fault) {
                    (_, CommitFault::LoseAnswer) => CommitReply::Unsettled,
                    (true, _) => CommitReply::Committed,
                    (false, _) => CommitReply::Conflict,
                }
            }
            CommitFault::Down => CommitReply::Unavailable,
            CommitFault::LoseRequest => CommitReply::Unsettled,
            CommitFault::WriteLate => {
                self.late_writes.push(planned.clone());
                CommitReply::Unsettled
            }
        };
        let step = if self.fault == Fault::ForgetUnsettledCommit && reply == CommitReply::Unsettled {
            SettleStep::Reread
        } else {
            self.attempts[index].change.settle(planned, reply)
        };
        self.settle(index, &step);
    }

    fn settle(&mut self, index: usize, step: &SettleStep) {
        self.attempts[index].outcome = match step {
            SettleStep::Accepted(change) => {
                let revision = change.revision;
                self.apply(self.attempts[index].daemon, &Arc::new(change.clone()));
                Some(Outcome::Accepted(revision))
            }
            SettleStep::Reread => None,
            SettleStep::NotAccepted => Some(Outcome::Rejected),
            SettleStep::Unsettled => Some(Outcome::Unsettled),
        };
    }

    fn catch_up(&mut self, daemon: usize) {
        for revision in self.daemons[daemon].revision() + 1..=self.store.head() {
            let key = store_rows::change_key(revision);
            if let Some(row) = self.store.read(store_rows::CHANGE_TABLE, &key) {
                self.apply(daemon, &Arc::new(row.value));
            }
        }
    }

    fn apply(&mut self, daemon: usize, change: &Arc<ConfigChange>) {
        let log = &mut self.daemons[daemon];
        if let ApplyStep::Behind { .. } = log.apply(Arc::clone(change))
            && self.fault == Fault::AcceptChangeGap
        {
            let mut set = ResourceSet::clone(log.set());
            set.edit(change.revision, &change.edits);
            log.install(&set.snapshot());
        }
    }

    fn install(&mut self, daemon: usize, snapshot: &ConfigSnapshot) {
        if self.fault == Fault::AcceptOlderSnapshot {
            self.daemons[daemon] = ConfigLog::new(MAX_CHANGES);
        }
        self.daemons[daemon].install(snapshot);
    }

    fn check_daemons(&mut self) -> Result<(), String> {
        for (daemon, log) in self.daemons.iter().enumerate() {
            let revision = log.revision();
            if revision < self.highest_revisions[daemon] {
                let highest = self.highest_revisions[daemon];
                return Err(format!("daemon {daemon} fell from revision {highest} to {revision}"));
            }
            if revision != self.highest_revisions[daemon] {
                self.highest_revisions[daemon] = revision;
                let mut expected = ResourceSet::default();
                for change in self.store.log.iter().filter(|change| change.revision <= revision) {
                    expected.edit(change.revision, &change.edits);
                }
                if expected.snapshot() != log.set().snapshot() {
                    return Err(format!("daemon {daemon} has another content at revision {revision}"));
                }
            }
        }
        Ok(())
    }

    fn check_store(&self) -> Result<(), String> {
        let revisions = self.store.log.iter().map(|change| change.revision);
        if !revisions.eq(1..=self.store.log.len() as u64) {
            return Err("revisions of the log are not 1, 2, 3 and so on".to_owned());
        }
        let mut versions: collections::HashMap<ResourceKey, u64> = collections::HashMap::new();
        for change in &self.store.log {
            let attempt = self
                .attempts
                .iter()
                .find(|attempt| attempt.change.request().change_id == change.change_id);
            for requested in &attempt.unwrap().change.request().edits {
                let current = versions
                    .insert(requested.edit.key.clone(), change.revision)
                    .unwrap_or(0);
                let met = match requested.expected {
                    ExpectedVersion::Exactly(version) => version == current,
                    ExpectedVersion::Absent | ExpectedVersion::Any => true,
                };
                if !met {
                    return Err(format!("two changes of version {current} of {}", requested.edit.key));
                }
            }
        }
        for attempt in &self.attempts {
            let id = &attempt.change.request().change_id;
            let committed: Vec<_> = self.store.log.iter().filter(|change| change.change_id == *id).collect();
            let valid = match attempt.outcome {
                Some(Outcome::Accepted(revision)) => committed.len() == 1 && committed[0].revision == revision,
                Some(Outcome::Rejected) => committed.is_empty(),
                Some(Outcome::Unsettled) | None => committed.len() <= 1,
            };
            if !valid {
                let outcome = attempt.outcome;
                return Err(format!(
                    "{id} was reported as {outcome:?} and is {} times in the log",
                    committed.len()
                ));
            }
        }
        Ok(())
    }
}
