// Package chutefit checks whether steps that a quota holds back would fit on the workers if nothing ran there.
package chutefit
