// Package standin holds what the cases of the review share: database hosts, discovery, clients and the start of a gateway
// process. The hosts and discovery follow ../given/kit/users/PROTOCOL.md. All addresses are loopback addresses.
package standin
