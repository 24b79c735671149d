//! Tests of individual rules of the ownership crate.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::{call_outcome, request_identity};
use damasktrack_ownership::action_ledger::{ActionLedger, LedgerLimits};
use damasktrack_ownership::action_step::{ActionResult, ActionStep, FinishStep, RefusalCheck, UnknownReason};
use damasktrack_ownership::answer_archive::{self, AnswerArchive, ArchiveLimits, ArchiveStep, RestoreStep, SkipReason};
use damasktrack_ownership::claim_plan::{ClaimPlan, ClaimResult};
use damasktrack_ownership::{action_key, action_step, answer_cache, claim_plan, owner_choice};

fn owner(incarnation: u64) -> request_identity::RequestOwner {
    request_identity::RequestOwner {
        daemon_id: Bytes::from_static(b"d1"),
        incarnation,
    }
}

fn key(request_id: &Bytes) -> action_key::ActionKey {
    action_key::ActionKey {
        request_id: request_id.clone(),
        service: Bytes::from_static(b"permits"),
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(b"/file"),
    }
}

fn request(request_id: &Bytes, waiter: u64, deadline: Instant) -> action_step::ActionRequest {
    action_step::ActionRequest {
        key: key(request_id),
        body_digest: [7; 32],
        waiter,
        deadline,
        forwarded: false,
    }
}

fn answer(length: usize) -> answer_cache::StoredAnswer {
    answer_cache::StoredAnswer {
        status: 201,
        headers: vec![(Bytes::from_static(b"content-type"), Bytes::from_static(b"text/plain"))],
        body: Bytes::from(vec![b'x'; length]),
    }
}

/// Guards against a repeat that receives a status without the body, and against a waiter that receives no reply.
#[test]
fn answers_over_64_kib_are_not_kept() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut ledger = ActionLedger::new(owner(1), LedgerLimits::default());
    for (length, kept) in [(64 << 10, true), ((64 << 10) + 1, false)] {
        let id = ledger.issue_id();
        assert_eq!(ledger.begin(&request(&id, 1, deadline), now), ActionStep::Dispatch(1));
        assert_eq!(ledger.begin(&request(&id, 2, deadline), now), ActionStep::Wait);
        let expected = if kept {
            ActionStep::Answer(answer(length))
        } else {
            ActionStep::Unknown(UnknownReason::AnswerNotKept)
        };
        let reply = action_step::WaiterReply {
            waiter: 2,
            step: expected.clone(),
        };
        let finished = ledger.finish(&key(&id), 1, ActionResult::Done(answer(length)));
        assert_eq!(finished, FinishStep::Ended(vec![reply]));
        assert_eq!(ledger.begin(&request(&id, 3, deadline), now), expected);
    }
}

/// Guards against a dispatch for a call whose deadline has passed when its claim is confirmed.
#[test]
fn late_claims_dispatch_nothing() {
    let now = Instant::now();
    let id = Bytes::from_static(b"filing-81");
    let mut ledger = ActionLedger::new(owner(1), LedgerLimits::default());
    let ActionStep::Claim(plan) = ledger.begin(&request(&id, 1, now + Duration::from_secs(1)), now) else {
        panic!("no claim");
    };
    assert_eq!(ledger.refusal_check(&key(&id)), RefusalCheck::MayHaveRun);
    let later = now + Duration::from_secs(2);
    let step = ledger.claim_settled(&id, plan.token, &ClaimResult::Inserted, later);
    let refusal = ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort);
    assert_eq!(
        step.replies,
        [action_step::WaiterReply {
            waiter: 1,
            step: refusal
        }]
    );
    assert_eq!(ledger.refusal_check(&key(&id)), RefusalCheck::NotRun);
    let repeat = ledger.begin(&request(&id, 2, later + Duration::from_secs(1)), later);
    assert_eq!(repeat, ActionStep::Dispatch(1));
}

/// Guards against the execution of ids of an ended incarnation or forged ids, and against forwarding loops.
#[test]
fn foreign_ids_never_run_here() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut ledger = ActionLedger::new(owner(2), LedgerLimits::default());
    let peer = request_identity::RequestOwner {
        daemon_id: Bytes::from_static(b"d2"),
        incarnation: 1,
    };
    let of_peer = request_identity::bound_id(&peer, 1);
    let mut begin = |id: &Bytes, forwarded| {
        let request = action_step::ActionRequest {
            forwarded,
            ..request(id, 1, deadline)
        };
        ledger.begin(&request, now)
    };
    let earlier = request_identity::bound_id(&owner(1), 1);
    assert_eq!(begin(&earlier, false), ActionStep::Unknown(UnknownReason::OwnerGone));
    let forged = request_identity::bound_id(&owner(2), 9);
    assert_eq!(begin(&forged, false), ActionStep::Unknown(UnknownReason::NeverIssued));
    assert_eq!(begin(&of_peer, false), ActionStep::Forward(peer));
    assert_eq!(begin(&of_peer, true), ActionStep::Unknown(UnknownReason::NotOwner));
}

/// Guards against two ids that map to the same row.
#[test]
fn row_keys_differ_as_their_ids_do() {
    let ids: [&[u8]; 5] = [b"a/b", b"a%2fb", b"a b", b"A", b"a\xff"];
    let keys: std::collections::BTreeSet<_> = ids.iter().map(|id| claim_plan::row_key(id)).collect();
    assert_eq!(keys.len(), ids.len());
    let plan = ClaimPlan::new(&owner(u64::MAX), &Bytes::from_static(b"a"), 1, &[0; 32]);
    assert_eq!(plan.row.holder(&owner(u64::MAX), 1), claim_plan::ClaimHolder::ThisClaim);
}

/// Guards against a daemon that uses the store's write rate for answers, and against an answer restored from a
/// truncated object or the object of another action.
#[test]
fn archive_is_rate_limited_and_checks_what_it_reads() {
    let now = Instant::now();
    let mut archive = AnswerArchive::new(ArchiveLimits::default(), now);
    let id = Bytes::from_static(b"pair-5");
    let steps: Vec<_> = (0..11)
        .map(|_| archive.offer(&key(&id), &[7; 32], &answer(3000), now))
        .collect();
    assert_eq!(steps[10], ArchiveStep::Skip(SkipReason::RateLimited));
    let ArchiveStep::Write { content, .. } = &steps[0] else {
        panic!("not written");
    };
    let content = Bytes::from(content.clone());
    let restore =
        |id: &'static str, digest, content: &Bytes| answer_archive::restore(&key(&id.into()), digest, content);
    assert_eq!(restore("pair-5", &[7; 32], &content), RestoreStep::Answer(answer(3000)));
    assert_eq!(restore("pair-5", &[8; 32], &content), RestoreStep::OtherBody);
    assert_eq!(restore("pair-6", &[7; 32], &content), RestoreStep::Unreadable);
    for length in 0..content.len() {
        let cut = content.slice(..length);
        assert_eq!(
            restore("pair-5", &[7; 32], &cut),
            RestoreStep::Unreadable,
            "cut at {length}"
        );
    }
    let bound = request_identity::bound_id(&owner(1), 1);
    let later = now + Duration::from_secs(1);
    let skipped = archive.offer(&key(&bound), &[7; 32], &answer(1), later);
    assert_eq!(skipped, ArchiveStep::Skip(SkipReason::BoundId));
    let written = (0..11)
        .filter(|_| archive.offer(&key(&id), &[7; 32], &answer(1), later) != steps[10])
        .count();
    assert_eq!(written, 5);
}

/// Guards against reassignment of ids that were not assigned to the leaving member.
#[test]
fn only_ids_of_a_leaving_member_move() {
    let members: Vec<Bytes> = (0..20).map(|index| Bytes::from(format!("d{index}"))).collect();
    let mut moved = 0;
    for index in 0..2_000 {
        let id = format!("id-{index}");
        let before = owner_choice::choose(id.as_bytes(), &members).unwrap();
        let reversed = owner_choice::choose(id.as_bytes(), members.iter().rev()).unwrap();
        let after = owner_choice::choose(id.as_bytes(), &members[1..]).unwrap();
        assert_eq!(before, reversed);
        moved += usize::from(before != after);
        assert!(before == after || *before == members[0]);
    }
    assert!(
        (50..200).contains(&moved),
        "{moved} of 2000 ids were assigned to one of 20 members"
    );
}

/// Guards against many daemons that together exceed the write rate of the store with archived answers.
#[test]
fn archive_rate_is_shared_among_daemons() {
    let start = Instant::now();
    let limits = ArchiveLimits::default();
    let writes = |daemons: usize| {
        let mut archive = AnswerArchive::new(limits, start);
        archive.set_daemon_count(daemons);
        let at = |tenths: u64| start + Duration::from_millis(100 * tenths);
        let offer = |tenths| archive.offer(&key(&"id".into()), &[7; 32], &answer(1), at(tenths));
        (0..1_000)
            .map(offer)
            .filter(|step| matches!(step, ArchiveStep::Write { .. }))
            .count()
    };
    // 100 s at 5 per second, or at a 760th of 200 per second, after a burst of 10.
    assert_eq!((writes(1), writes(760)), (509, 36));
}
