//! Drains and the status of nodes, case by case.

mod fixture;
mod hosts;
mod precedence;
mod restart;
mod stages;
mod zones;
