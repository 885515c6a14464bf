// Package standin provides stand-ins for the platform in tests: a state service, clouds,
// workers and a network, into which tests inject faults such as lost responses, delayed
// commands and partitions.
package standin
