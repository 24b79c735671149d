//! Admission of calls at the callee: limits, queue, levels and tenant shares.
