//! The rules, each with a checker of its own that is told what bears on it and adds what it finds to the verdict.

mod answers;
mod effects;
mod purges;
mod slow_start;
mod withdrawals;

pub(crate) use answers::AnswerChecker;
pub(crate) use effects::EffectChecker;
pub(crate) use purges::PurgeChecker;
pub(crate) use slow_start::SlowStartChecker;
pub(crate) use withdrawals::WithdrawalChecker;
