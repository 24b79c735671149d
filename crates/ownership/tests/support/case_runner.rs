//! Generates bounded fuzz cases from a fixed seed and reports the first one that violates a rule of an oracle.

use bolero::generator::bolero_generator::TypeGenerator;
use bolero::generator::bolero_generator::driver;

/// Default seed; `DAMASKTRACK_FUZZ_SEED` overrides it.
const SEED: u64 = 20_260_131;
/// Most random bytes that the generation of one operation consumes.
const MAX_OPERATION_BYTES: usize = 24;

/// Runs `cases` sequences of up to `length` operations. An error contains the violation, seed, case and operations.
pub fn run<T: TypeGenerator + std::fmt::Debug>(
    name: &str,
    cases: u64,
    length: usize,
    mut check: impl FnMut(&[T]) -> Result<(), String>,
) -> Result<(), String> {
    let given = std::env::var("DAMASKTRACK_FUZZ_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(SEED);
    println!("{name}: seed {seed}, {cases} cases of up to {length} operations");
    for case in 0..cases {
        let operations = generate(seed.wrapping_add(case), length);
        check(&operations)
            .map_err(|violation| format!("{name}: seed {seed}, case {case}: {violation}\n{operations:#?}"))?;
    }
    Ok(())
}

/// Asserts that the run failed with a violation whose first line contains `part`.
pub fn expect_violation(result: Result<(), String>, part: &str) {
    let violation = result.expect_err("the oracle reported no violation although a mechanism is disabled");
    let first = violation.lines().next().unwrap_or_default();
    println!("violation: {first}");
    assert!(first.contains(part), "expected a violation with '{part}', got: {first}");
}

fn generate<T: TypeGenerator>(seed: u64, length: usize) -> Vec<T> {
    let mut state = seed;
    let mut bytes = Vec::with_capacity(length * MAX_OPERATION_BYTES);
    while bytes.len() < length * MAX_OPERATION_BYTES {
        // SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = state;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bytes.extend_from_slice(&(word ^ (word >> 31)).to_le_bytes());
    }
    let options = driver::Options::default().with_max_len(bytes.len());
    let mut source = driver::ByteSliceDriver::new(bytes.as_slice(), &options);
    (0..length).map_while(|_| T::generate(&mut source)).collect()
}
