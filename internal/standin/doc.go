// Package standin provides stand-ins of the platform for tests: a state service, clouds,
// workers and a network, into which tests inject faults such as lost responses, delayed
// commands and partitions.
package standin
