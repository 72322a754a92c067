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
void kr_bucket_free (KrBucket *self);
/* Calls go(TRUE) when `cost` may be spent, at once if possible; go(FALSE) at once if the queue is
 * full. `first`: ahead of the others (leases and ownership). */
void kr_bucket_take (KrBucket *self, double cost, gboolean first, KrBucketGo go, gpointer data);
guint kr_bucket_waiting (KrBucket *self);
