/* Orderly cancellation, and rate limits with small queues. */
#pragma once
#include <gio/gio.h>

/* A cancellable that is cancelled together with its parent. */
GCancellable *kr_cancellable_new_child (GCancellable *parent);

/* --- rate limit with a small queue --------------------------------------------------- */
typedef struct KrRateLimiter KrRateLimiter;
typedef void (*KrRateLimiterFunc) (gboolean granted, gpointer data);
/* `rate` a second, bursts worth `burst_s` seconds. */
KrRateLimiter *kr_rate_limiter_new (double rate, double burst_s);
void kr_rate_limiter_free (KrRateLimiter *bucket);
/* The rate may change with what the node has to do; what waits is served at the new one. */
void kr_rate_limiter_set_rate (KrRateLimiter *bucket, double rate);
typedef enum {
  KR_QUEUE_NORMAL, /* in turn */
  KR_QUEUE_HIGH,   /* ahead of the others: leases, ownership, ends */
  KR_QUEUE_LOW     /* when no other waits: users' questions, of which any number may come */
} KrQueueClass;
/* Calls go(TRUE) when `cost` may be spent, at once if possible; go(FALSE) at once if the queue is
 * full. */
void kr_rate_limiter_acquire (KrRateLimiter *bucket, double cost, KrQueueClass turn,
                              KrRateLimiterFunc go, gpointer data);
/* Takes back a call that waits, by its `data`: go is not called for it. */
void kr_rate_limiter_cancel (KrRateLimiter *bucket, gpointer data);
double kr_rate_limiter_rate (KrRateLimiter *bucket);
double kr_rate_limiter_burst (KrRateLimiter *bucket);
/* What may be spent now on work that can wait: a reserve stays for the rest. A full bucket always
 * spares something. */
double kr_rate_limiter_spare (KrRateLimiter *bucket);
/* Cost of what waits now. */
double kr_rate_limiter_queued_cost (KrRateLimiter *bucket);
/* Seconds until what waits now has been served. */
double kr_rate_limiter_wait_s (KrRateLimiter *bucket);
