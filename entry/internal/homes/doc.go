// Package homes enforces data residency: it decides in which regions a request may run and which hosts its clients are
// directed to.
package homes
