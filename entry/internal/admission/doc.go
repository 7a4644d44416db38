// Package admission decides which requests run now, which wait and which are refused.
package admission
