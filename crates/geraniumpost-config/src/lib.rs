//! Checked settings and the checked configuration document.
