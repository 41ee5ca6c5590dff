//! Adapters to the platform: key-value service, workers and minions.
