//! A stand-in backend server for the demo and the tests.
