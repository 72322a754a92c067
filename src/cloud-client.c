#include "cloud-client.h"
#include "clock.h"
#include "constants.h"
#include "rate-limiter.h"

struct KrCloudClient {
  KrHttpClient *client;
  char *host;
  KrRateLimiter *requests;
  double rps;    /* of all nodes together */
  GQueue doomed; /* Doomed: to be deleted */
  gboolean deleting;
  guint delete_soon;
};

typedef struct {
  KrCloudClient *cloud;
  const char *method;
  char *path;
  json_t *body;
  GCancellable *cancel;
  KrHttpResponseFunc reply;
  gpointer data;
} Op;

static void doomed_free (gpointer p);

KrCloudClient *
kr_cloud_new (const KrSettings *settings)
{
  KrCloudClient *cloud = g_new0 (KrCloudClient, 1);
  cloud->client = kr_http_client_new (KR_CLOUD_CONNS, KR_CLOUD_CONNS, KR_CONN_IDLE_S);
  cloud->host = g_strdup (settings->cloud);
  cloud->rps = settings->cloud_rps;
  cloud->requests = kr_rate_limiter_new (cloud->rps / settings->shard_count, KR_CLOUD_BURST_S);
  g_queue_init (&cloud->doomed);
  return cloud;
}

void
kr_cloud_free (KrCloudClient *cloud)
{
  kr_timer_clear (&cloud->delete_soon);
  g_queue_clear_full (&cloud->doomed, doomed_free);
  kr_http_client_free (cloud->client);
  kr_rate_limiter_free (cloud->requests);
  g_free (cloud->host);
  g_free (cloud);
}

void
kr_cloud_set_rate_share (KrCloudClient *cloud, double share)
{
  kr_rate_limiter_set_rate (cloud->requests, cloud->rps * share);
}

static void
op_done (guint status, json_t *body, gpointer data)
{
  Op *op = data;
  op->reply (status, body, op->data);
  g_free (op->path);
  json_decref (op->body);
  g_clear_object (&op->cancel);
  g_free (op);
}

static void
op_send (gboolean granted, gpointer data)
{
  Op *op = data;
  if (granted)
    kr_http_client_call (op->cloud->client, op->method, op->cloud->host, op->path,
                         g_steal_pointer (&op->body), KR_CLOUD_TIMEOUT_MS, op->cancel, op_done, op);
  else
    op_done (429, NULL, op);
}

static void
start (KrCloudClient *cloud, const char *method, char *path, json_t *body, KrQueueClass turn,
       GCancellable *cancel, KrHttpResponseFunc reply, gpointer data)
{
  Op *op = g_new (Op, 1);
  *op = (Op){ cloud, method, path, body, cancel ? g_object_ref (cancel) : NULL, reply, data };
  kr_rate_limiter_acquire (cloud->requests, 1, turn, op_send, op);
}

void
kr_cloud_list_types (KrCloudClient *cloud, GCancellable *cancel, KrHttpResponseFunc reply,
                     gpointer data)
{
  start (cloud, "GET", g_strdup (KR_PATH_TYPES), NULL, KR_QUEUE_HIGH, cancel, reply, data);
}

void
kr_cloud_rent (KrCloudClient *cloud, const char *request, const char *type, const char *zone,
               gboolean spot, guint count, GCancellable *cancel, KrHttpResponseFunc reply,
               gpointer data)
{
  start (cloud, "POST", g_strdup (KR_PATH_RENT),
         kr_wire_rental_request (request, type, zone, spot, count), KR_QUEUE_NORMAL, cancel, reply,
         data);
}

/* --- deletions: what is asked for while a call waits goes out with it ----------------- */
typedef struct {
  char *id;
  GCancellable *cancel;
  KrHttpResponseFunc reply;
  gpointer data;
} Doomed;

static void
doomed_free (gpointer p)
{
  Doomed *d = p;
  g_free (d->id);
  g_clear_object (&d->cancel);
  g_free (d);
}

static void delete_more (KrCloudClient *cloud);

static void
delete_done (guint status, json_t *body, gpointer data)
{
  GPtrArray *doomed = data;
  for (guint i = 0; i < doomed->len; i++) {
    Doomed *d = doomed->pdata[i];
    d->reply (status, body, d->data);
  }
  g_ptr_array_unref (doomed);
}

static void
delete_send (gboolean granted, gpointer data)
{
  KrCloudClient *cloud = data;
  GPtrArray *doomed = g_ptr_array_new_with_free_func (doomed_free);
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();

  cloud->deleting = FALSE;
  while (doomed->len < KR_DELETE_BATCH_MAX && cloud->doomed.length) {
    Doomed *d = g_queue_pop_head (&cloud->doomed);
    g_ptr_array_add (doomed, d);
    if (!d->cancel || !g_cancellable_is_cancelled (d->cancel))
      g_ptr_array_add (ids, d->id);
  }
  g_ptr_array_add (ids, NULL);
  if (granted && ids->len > 1)
    kr_http_client_call (cloud->client, "POST", cloud->host, KR_PATH_DELETE,
                         kr_wire_deletion_request ((char **) ids->pdata), KR_CLOUD_TIMEOUT_MS, NULL,
                         delete_done, doomed);
  else
    delete_done (429, NULL, doomed);
  delete_more (cloud);
}

static void
delete_more (KrCloudClient *cloud)
{
  if (cloud->deleting || cloud->doomed.length == 0)
    return;
  cloud->deleting = TRUE;
  kr_rate_limiter_acquire (cloud->requests, 1, KR_QUEUE_HIGH, delete_send, cloud);
}

static gboolean
delete_now (gpointer data)
{
  KrCloudClient *cloud = data;
  cloud->delete_soon = 0;
  delete_more (cloud);
  return G_SOURCE_REMOVE;
}

void
kr_cloud_delete (KrCloudClient *cloud, const char *id, GCancellable *cancel,
                 KrHttpResponseFunc reply, gpointer data)
{
  Doomed *d = g_new (Doomed, 1);
  *d = (Doomed){ g_strdup (id), cancel ? g_object_ref (cancel) : NULL, reply, data };
  g_queue_push_tail (&cloud->doomed, d);
  if (!cloud->delete_soon) /* what is asked for at one moment goes out together */
    cloud->delete_soon = kr_timer_add (KR_DELETE_BATCH_DELAY_MS, delete_now, cloud);
}

/* --- the list, page by page ---------------------------------------------------------- */
typedef struct {
  KrCloudClient *cloud;
  GPtrArray *machines;
  GCancellable *cancel;
  KrCloudListFunc listed;
  gpointer data;
} Listing;

static void next_page (Listing *l);

static void
page_done (guint status, json_t *body, gpointer data)
{
  Listing *l = data;
  gboolean more = FALSE,
           ok = status == 200 && kr_wire_machine_list_parse (body, l->machines, &more);

  if (ok && more && l->machines->len) {
    next_page (l);
    return;
  }
  l->listed (ok ? l->machines : NULL, l->data);
  g_ptr_array_unref (l->machines);
  g_clear_object (&l->cancel);
  g_free (l);
}

static void
next_page (Listing *l)
{
  const char *after =
      l->machines->len ? ((KrListedMachine *) l->machines->pdata[l->machines->len - 1])->id : NULL;
  start (l->cloud, "GET", kr_wire_machine_list_path (after, KR_MACHINE_LIST_PAGE), NULL,
         KR_QUEUE_NORMAL, l->cancel, page_done, l);
}

void
kr_cloud_list_machines (KrCloudClient *cloud, GCancellable *cancel, KrCloudListFunc listed,
                        gpointer data)
{
  Listing *l = g_new (Listing, 1);
  *l = (Listing){ cloud, g_ptr_array_new_with_free_func (kr_listed_machine_free),
                  cancel ? g_object_ref (cancel) : NULL, listed, data };
  next_page (l);
}
