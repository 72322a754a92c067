#include "flow.h"
#include "clock.h"
#include "constants.h"

/* --- cancellables -------------------------------------------------------------------- */
static void
cancel_child (GCancellable *parent, gpointer child)
{
  g_cancellable_cancel (child);
}

GCancellable *
kr_cancellable_child (GCancellable *parent)
{
  GCancellable *child = g_cancellable_new ();
  if (parent)
    g_signal_connect_object (parent, "cancelled", G_CALLBACK (cancel_child), child, 0);
  return child;
}

/* --- bucket -------------------------------------------------------------------------- */
typedef struct {
  double cost;
  KrBucketGo go;
  gpointer data;
} Waiter;

struct KrBucket {
  double rate, burst_s, burst, tokens;
  gint64 at;
  GQueue queue, last; /* last: goes when none of the others waits */
  guint timer;
};

KrBucket *
kr_bucket_new (double rate, double burst_s)
{
  KrBucket *b = g_new0 (KrBucket, 1);
  b->rate = rate;
  b->burst_s = burst_s;
  b->burst = b->tokens = MAX (1.0, rate * burst_s);
  b->at = kr_now ();
  g_queue_init (&b->queue);
  g_queue_init (&b->last);
  return b;
}

void
kr_bucket_free (KrBucket *b)
{
  kr_timer_clear (&b->timer);
  g_queue_clear_full (&b->queue, g_free);
  g_queue_clear_full (&b->last, g_free);
  g_free (b);
}

static void
refill (KrBucket *b)
{
  gint64 now = kr_now ();
  b->tokens = MIN (b->burst, b->tokens + b->rate * (now - b->at) / G_USEC_PER_SEC);
  b->at = now;
}

double
kr_bucket_rate (KrBucket *b)
{
  return b->rate;
}

double
kr_bucket_burst (KrBucket *b)
{
  return b->burst;
}

double
kr_bucket_spare (KrBucket *b)
{
  refill (b);
  if (b->queue.length)
    return 0;
  double reserve = MAX (1, b->burst * KR_RESERVE_SHARE);
  return MAX (b->tokens >= b->burst ? 1 : 0, b->tokens - reserve);
}

double
kr_bucket_waiting (KrBucket *b)
{
  double cost = 0;
  for (GList *l = b->queue.head; l; l = l->next)
    cost += ((Waiter *) l->data)->cost;
  return cost;
}

double
kr_bucket_wait_s (KrBucket *b)
{
  refill (b);
  return MAX (0, kr_bucket_waiting (b) - b->tokens) / b->rate;
}

static gboolean serve (gpointer data);

static GQueue *
next_queue (KrBucket *b)
{
  return b->queue.length ? &b->queue : &b->last;
}

static void
arm (KrBucket *b)
{
  Waiter *w = g_queue_peek_head (next_queue (b));
  if (!w || b->timer)
    return;
  /* A call dearer than the burst waits for a full bucket and leaves a debt. */
  double missing = MAX (0, MIN (w->cost, b->burst) - b->tokens);
  b->timer = kr_timer_add (MAX (1, (guint) (missing / b->rate * 1000) + 1), serve, b);
}

static gboolean
serve (gpointer data)
{
  KrBucket *b = data;
  Waiter *w;
  b->timer = 0;
  refill (b);
  while ((w = g_queue_peek_head (next_queue (b))) && b->tokens >= MIN (w->cost, b->burst)) {
    g_queue_pop_head (next_queue (b));
    b->tokens -= w->cost;
    w->go (TRUE, w->data);
    g_free (w);
  }
  arm (b);
  return G_SOURCE_REMOVE;
}

void
kr_bucket_set_rate (KrBucket *b, double rate)
{
  if (rate == b->rate)
    return;
  refill (b);
  b->rate = rate;
  b->burst = MAX (1.0, rate * b->burst_s);
  kr_timer_clear (&b->timer);
  arm (b);
}

void
kr_bucket_take (KrBucket *b, double cost, KrTurn turn, KrBucketGo go, gpointer data)
{
  GQueue *queue = turn == KR_LAST ? &b->last : &b->queue;
  refill (b);
  if ((turn == KR_FIRST || (b->queue.length == 0 && queue->length == 0)) &&
      b->tokens >= MIN (cost, b->burst)) {
    b->tokens -= cost;
    go (TRUE, data);
    return;
  }
  if (queue->length >= MAX (KR_QUEUE_MIN, b->rate * KR_QUEUE_S) && turn != KR_FIRST) {
    go (FALSE, data);
    return;
  }
  Waiter *w = g_new (Waiter, 1);
  *w = (Waiter){ cost, go, data };
  if (turn == KR_FIRST)
    g_queue_push_head (queue, w);
  else
    g_queue_push_tail (queue, w);
  kr_timer_clear (&b->timer);
  arm (b);
}
