//! Authenticated datagrams and multiplexed links between geraniumpost processes.
