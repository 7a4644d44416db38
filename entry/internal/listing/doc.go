// Package listing keeps the platform's replica list as rows that hosts share, so that few of them read the list itself.
package listing
