package fakes

import (
	"time"
	"unsafe"
)

// StepClock returns a time whose time of day is later by some whole seconds, and whose monotonic
// reading is the same. It panics if the time package lays its times out in another way.
func StepClock(at time.Time, step time.Duration) time.Time {
	const secondsShift = 30 // Below the seconds are the nanoseconds.
	stepped := at
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(step/time.Second) << secondsShift
	if stepped.Sub(at) != 0 || time.Duration(stepped.UnixNano()-at.UnixNano()) != step {
		panic("fakes: unknown layout of time.Time")
	}
	return stepped
}
