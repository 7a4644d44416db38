// Package baseline is the plain policy that guavaspring is compared with: a random replica, no hedge, no retry, no
// admission.
package baseline
