// Command review-3 runs the scripted cases of the third review: it starts entry hosts as separate processes, plays the
// platform, the workers and the clients for them on loopback, and checks one rule from what these have seen.
package main
