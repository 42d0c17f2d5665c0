package process

import (
	"cmp"
	"runtime"
	"slices"
	"strings"
)

const (
	// modulePath is the prefix of this module's functions.
	modulePath = "github.com/hopwell/hopwell/"
	// maxWaitingStacks bounds the stacks that are logged, and maxStackCalls the calls of each.
	maxWaitingStacks = 32
	maxStackCalls    = 10
	// newGoroutines is the number of goroutines that may begin while their stacks are read.
	newGoroutines = 64
)

// lockFunctions are the functions that wait for a lock.
var lockFunctions = []string{"sync.(*Mutex).Lock", "sync.(*RWMutex).Lock", "sync.(*RWMutex).RLock"}

// waitingStack is a stack of goroutines.
type waitingStack struct {
	goroutines int
	// waitsFor is the function that waits for a lock, empty if another reason or none makes the goroutines wait.
	waitsFor string
	// calls are the calls of this module's functions, innermost first.
	calls string
}

// waitingStacks returns the stacks of the goroutines that wait for a lock, and of those that run one of the given
// functions. Those that wait for a lock come first, ordered by their number: the goroutine that keeps the others waiting
// is often alone.
func waitingStacks(roots []string) []waitingStack {
	count := map[[32]uintptr]int{}
	for _, r := range goroutines() {
		count[r.Stack0]++
	}
	var out []waitingStack
	for stack, n := range count {
		s := readStack(stack[:])
		if s.waitsFor == "" && !slices.ContainsFunc(roots, func(root string) bool { return strings.Contains(s.calls, root) }) {
			continue
		}
		s.goroutines = n
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b waitingStack) int {
		return cmp.Or(cmp.Compare(b.waitsFor, a.waitsFor), cmp.Compare(a.goroutines, b.goroutines), cmp.Compare(a.calls, b.calls))
	})
	return out[:min(len(out), maxWaitingStacks)]
}

// goroutines returns the stacks of all goroutines.
func goroutines() []runtime.StackRecord {
	records := make([]runtime.StackRecord, runtime.NumGoroutine()+newGoroutines)
	for {
		n, complete := runtime.GoroutineProfile(records)
		if complete {
			return records[:n]
		}
		records = make([]runtime.StackRecord, n+newGoroutines)
	}
}

// readStack names the calls of a stack.
func readStack(pcs []uintptr) waitingStack {
	if end := slices.Index(pcs, 0); end >= 0 {
		pcs = pcs[:end]
	}
	var out waitingStack
	var calls []string
	frames := runtime.CallersFrames(pcs)
	for {
		f, more := frames.Next()
		name, own := strings.CutPrefix(f.Function, modulePath)
		switch {
		case own:
			calls = append(calls, name)
		case len(calls) == 0 && slices.Contains(lockFunctions, f.Function):
			out.waitsFor = f.Function
		}
		if !more {
			break
		}
	}
	if extra := len(calls) - maxStackCalls; extra > 0 {
		// The function that began the goroutine stays: it names what the goroutine is for.
		calls = slices.Delete(calls, maxStackCalls-1, len(calls)-1)
	}
	out.calls = strings.Join(calls, " < ")
	return out
}
