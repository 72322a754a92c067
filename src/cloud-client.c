#include "cloud-client.h"
#include "clock.h"
#include "constants.h"
#include "rate-limiter.h"

struct KrCloudClient {
  KrHttpClient *http_client;
  char *host;
  KrRateLimiter *rate_limiter;
  double total_rps;        /* requests per second of all nodes together */
  GQueue deletions;        /* of Deletion: deletions to be sent */
  gboolean delete_waiting; /* a deletion call waits for the rate limiter */
  guint delete_timer;      /* timer that starts the next deletion call */
};

typedef struct {
  KrCloudClient *cloud;
  const char *method;
  char *path;
  json_t *body;
  GCancellable *cancel;
  KrHttpResponseFunc on_response;
  gpointer data;
} Call;

static void deletion_free (gpointer p);

KrCloudClient *
kr_cloud_new (const KrSettings *settings)
{
  KrCloudClient *cloud = g_new0 (KrCloudClient, 1);
  cloud->http_client = kr_http_client_new (KR_CLOUD_CONNS, KR_CLOUD_CONNS, KR_CONN_IDLE_S);
  cloud->host = g_strdup (settings->cloud);
  cloud->total_rps = settings->cloud_rps;
  cloud->rate_limiter =
      kr_rate_limiter_new (cloud->total_rps / settings->shard_count, KR_CLOUD_BURST_S);
  g_queue_init (&cloud->deletions);
  return cloud;
}

void
kr_cloud_free (KrCloudClient *cloud)
{
  kr_timer_clear (&cloud->delete_timer);
  g_queue_clear_full (&cloud->deletions, deletion_free);
  kr_http_client_free (cloud->http_client);
  kr_rate_limiter_free (cloud->rate_limiter);
  g_free (cloud->host);
  g_free (cloud);
}

void
kr_cloud_set_rate_share (KrCloudClient *cloud, double share)
{
  kr_rate_limiter_set_rate (cloud->rate_limiter, cloud->total_rps * share);
}

static void
call_done (guint status, json_t *body, gpointer data)
{
  Call *call = data;
  call->on_response (status, body, call->data);
  g_free (call->path);
  json_decref (call->body);
  g_clear_object (&call->cancel);
  g_free (call);
}

static void
call_send (gboolean granted, gpointer data)
{
  Call *call = data;
  if (granted)
    kr_http_client_call (call->cloud->http_client, call->method, call->cloud->host, call->path,
                         g_steal_pointer (&call->body), KR_CLOUD_TIMEOUT_MS, call->cancel,
                         call_done, call);
  else
    call_done (429, NULL, call);
}

static void
call_start (KrCloudClient *cloud, const char *method, char *path, json_t *body,
            KrQueueClass queue_class, GCancellable *cancel, KrHttpResponseFunc on_response,
            gpointer data)
{
  Call *call = g_new (Call, 1);
  *call =
      (Call){ cloud, method, path, body, cancel ? g_object_ref (cancel) : NULL, on_response, data };
  kr_rate_limiter_acquire (cloud->rate_limiter, 1, queue_class, call_send, call);
}

void
kr_cloud_list_types (KrCloudClient *cloud, GCancellable *cancel, KrHttpResponseFunc on_response,
                     gpointer data)
{
  call_start (cloud, "GET", g_strdup (KR_PATH_TYPES), NULL, KR_QUEUE_HIGH, cancel, on_response,
              data);
}

void
kr_cloud_rent (KrCloudClient *cloud, const char *request, const char *type, const char *zone,
               gboolean spot, guint count, GCancellable *cancel, KrHttpResponseFunc on_response,
               gpointer data)
{
  call_start (cloud, "POST", g_strdup (KR_PATH_RENT),
              kr_wire_rental_request (request, type, zone, spot, count), KR_QUEUE_NORMAL, cancel,
              on_response, data);
}

/* --- deletions ----------------------------------------------------------------------- */
/* A requested deletion. A call that waits for the rate limiter includes all deletions that are
 * requested until it is sent, at most KR_DELETE_BATCH_MAX. */
typedef struct {
  char *id;
  GCancellable *cancel;
  KrHttpResponseFunc on_response;
  gpointer data;
} Deletion;

static void
deletion_free (gpointer p)
{
  Deletion *deletion = p;
  g_free (deletion->id);
  g_clear_object (&deletion->cancel);
  g_free (deletion);
}

static void send_deletions (KrCloudClient *cloud);

static void
deletions_done (guint status, json_t *body, gpointer data)
{
  GPtrArray *deletions = data;
  for (guint i = 0; i < deletions->len; i++) {
    Deletion *deletion = deletions->pdata[i];
    deletion->on_response (status, body, deletion->data);
  }
  g_ptr_array_unref (deletions);
}

static void
deletions_send (gboolean granted, gpointer data)
{
  KrCloudClient *cloud = data;
  GPtrArray *deletions = g_ptr_array_new_with_free_func (deletion_free);
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  cloud->delete_waiting = FALSE;
  while (deletions->len < KR_DELETE_BATCH_MAX && cloud->deletions.length) {
    Deletion *deletion = g_queue_pop_head (&cloud->deletions);
    g_ptr_array_add (deletions, deletion);
    if (!deletion->cancel || !g_cancellable_is_cancelled (deletion->cancel))
      g_ptr_array_add (ids, deletion->id);
  }
  g_ptr_array_add (ids, NULL);
  if (granted && ids->len > 1)
    kr_http_client_call (cloud->http_client, "POST", cloud->host, KR_PATH_DELETE,
                         kr_wire_deletion_request ((char **) ids->pdata), KR_CLOUD_TIMEOUT_MS, NULL,
                         deletions_done, deletions);
  else
    deletions_done (429, NULL, deletions);
  send_deletions (cloud);
}

static void
send_deletions (KrCloudClient *cloud)
{
  if (cloud->delete_waiting || cloud->deletions.length == 0)
    return;
  cloud->delete_waiting = TRUE;
  kr_rate_limiter_acquire (cloud->rate_limiter, 1, KR_QUEUE_HIGH, deletions_send, cloud);
}

static gboolean
on_delete_timer (gpointer data)
{
  KrCloudClient *cloud = data;
  cloud->delete_timer = 0;
  send_deletions (cloud);
  return G_SOURCE_REMOVE;
}

void
kr_cloud_delete (KrCloudClient *cloud, const char *id, GCancellable *cancel,
                 KrHttpResponseFunc on_response, gpointer data)
{
  Deletion *deletion = g_new (Deletion, 1);
  *deletion = (Deletion){ g_strdup (id), cancel ? g_object_ref (cancel) : NULL, on_response, data };
  g_queue_push_tail (&cloud->deletions, deletion);
  if (!cloud->delete_timer) /* collects requests made at about the same time */
    cloud->delete_timer = kr_timer_add (KR_DELETE_BATCH_DELAY_MS, on_delete_timer, cloud);
}

/* --- machine list -------------------------------------------------------------------- */
typedef struct {
  KrCloudClient *cloud;
  GPtrArray *machines;
  GCancellable *cancel;
  KrCloudListFunc on_listed;
  gpointer data;
} Listing;

static void next_page (Listing *listing);

static void
page_done (guint status, json_t *body, gpointer data)
{
  Listing *listing = data;
  gboolean more = FALSE,
           ok = status == 200 && kr_wire_machine_list_parse (body, listing->machines, &more);

  if (ok && more && listing->machines->len) {
    next_page (listing);
    return;
  }
  listing->on_listed (ok ? listing->machines : NULL, listing->data);
  g_ptr_array_unref (listing->machines);
  g_clear_object (&listing->cancel);
  g_free (listing);
}

static void
next_page (Listing *listing)
{
  const char *last_id =
      listing->machines->len
          ? ((KrListedMachine *) listing->machines->pdata[listing->machines->len - 1])->id
          : NULL;
  call_start (listing->cloud, "GET", kr_wire_machine_list_path (last_id, KR_MACHINE_LIST_PAGE),
              NULL, KR_QUEUE_NORMAL, listing->cancel, page_done, listing);
}

void
kr_cloud_list_machines (KrCloudClient *cloud, GCancellable *cancel, KrCloudListFunc on_listed,
                        gpointer data)
{
  Listing *listing = g_new (Listing, 1);
  *listing = (Listing){ cloud, g_ptr_array_new_with_free_func (kr_listed_machine_free),
                        cancel ? g_object_ref (cancel) : NULL, on_listed, data };
  next_page (listing);
}
