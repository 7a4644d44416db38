// Package eject implements outlier ejection: it takes slow or failing replicas out of rotation and probes them until
// they recover.
package eject
