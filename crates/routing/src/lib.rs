//! Choice of a backend server, its health as observed, and the retry and region budgets.
