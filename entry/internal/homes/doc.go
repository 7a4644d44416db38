// Package homes decides in which regions a request may run and which hosts its clients are sent to.
package homes
