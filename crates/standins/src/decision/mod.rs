//! Drives the scheduler of `parsley_core` in virtual time against engine models, beside two
//! baselines, and derives the measures of the design page's section 1.4 that concern decisions.

pub mod baseline;
pub mod measure;
pub mod run;
pub mod workload;
