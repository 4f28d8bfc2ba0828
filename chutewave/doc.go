// Package chutewave carries out waves of maintenance: it drains machines, orders their maintenance and records the waves.
package chutewave
