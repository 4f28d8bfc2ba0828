// Command harness2 plays the cases of the second review. It starts the project's daemon in processes of its own, beside stand-ins of
// the platform's store, of its machine service and of its workers, and checks one rule from what these see on their sockets.
package main
