/* Orderly cancellation, and rate limits with small queues. */
#pragma once
#include <gio/gio.h>

/* A cancellable that is cancelled together with its parent. */
GCancellable *kr_cancellable_child (GCancellable *parent);

/* --- rate limit with a small queue --------------------------------------------------- */
typedef struct KrBucket KrBucket;
typedef void (*KrBucketGo) (gboolean granted, gpointer data);
/* `rate` a second, bursts worth `burst_s` seconds. */
KrBucket *kr_bucket_new (double rate, double burst_s);
void kr_bucket_free (KrBucket *bucket);
/* The rate may change with what the node has to do; what waits is served at the new one. */
void kr_bucket_set_rate (KrBucket *bucket, double rate);
typedef enum {
  KR_NORMAL, /* in turn */
  KR_FIRST,  /* ahead of the others: leases, ownership, ends */
  KR_LAST    /* when no other waits: users' questions, of which any number may come */
} KrTurn;
/* Calls go(TRUE) when `cost` may be spent, at once if possible; go(FALSE) at once if the queue is
 * full. */
void kr_bucket_take (KrBucket *bucket, double cost, KrTurn turn, KrBucketGo go, gpointer data);
/* Takes back a call that waits, by its `data`: go is not called for it. */
void kr_bucket_leave (KrBucket *bucket, gpointer data);
double kr_bucket_rate (KrBucket *bucket);
double kr_bucket_burst (KrBucket *bucket);
/* What may be spent now on work that can wait: a reserve stays for the rest. A full bucket always
 * spares something. */
double kr_bucket_spare (KrBucket *bucket);
/* Cost of what waits now. */
double kr_bucket_waiting (KrBucket *bucket);
/* Seconds until what waits now has been served. */
double kr_bucket_wait_s (KrBucket *bucket);
