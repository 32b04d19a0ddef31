// Package dotterservice hands out slots of the backend servers of a service.
//
// A Service knows the servers of one template in this host's failure domain,
// how many of their slots this host may use, and the requests that wait for
// one. A slot is taken from Permits, which is what keeps all entry hosts
// together within a server's slots; the counts kept here only save asking it in
// vain. A slot that becomes free goes straight to the first request in the
// queue, under the service's lock, so that none is missed and none overtakes.
//
// A request that can't be answered in time, as far as the queue and the mean
// latency tell, is refused at once and told when to come back.
//
// Services keeps one Service for each template and follows the configuration,
// the directory and the shares.
package dotterservice
