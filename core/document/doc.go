// Package document parses and validates the document of a service, the file in which its operators configure it.
package document
