#include "cloud.h"
#include "constants.h"

struct KrCloud {
  KrClient *client;
  char *host;
  KrBucket *requests;
};

typedef struct {
  KrCloud *cloud;
  const char *method;
  char *path;
  json_t *body;
  GCancellable *cancel;
  KrReply reply;
  gpointer data;
} Op;

KrCloud *
kr_cloud_new (const KrSettings *s)
{
  KrCloud *c = g_new0 (KrCloud, 1);
  c->client = kr_client_new (KR_CLOUD_CONNS, KR_CLOUD_CONNS, KR_CLIENT_IDLE_S);
  c->host = g_strdup (s->cloud);
  c->requests = kr_bucket_new (s->cloud_rps / s->size, 2);
  return c;
}

void
kr_cloud_free (KrCloud *c)
{
  kr_client_free (c->client);
  kr_bucket_free (c->requests);
  g_free (c->host);
  g_free (c);
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
    kr_client_call (op->cloud->client, op->method, op->cloud->host, op->path,
                    g_steal_pointer (&op->body), KR_CLOUD_TIMEOUT_MS, op->cancel, op_done, op);
  else
    op_done (429, NULL, op);
}

static void
start (KrCloud *c, const char *method, char *path, json_t *body, gboolean first,
       GCancellable *cancel, KrReply reply, gpointer data)
{
  Op *op = g_new (Op, 1);
  *op = (Op){ c, method, path, body, cancel ? g_object_ref (cancel) : NULL, reply, data };
  kr_bucket_take (c->requests, 1, first, op_send, op);
}

void
kr_cloud_types (KrCloud *c, GCancellable *cancel, KrReply reply, gpointer data)
{
  start (c, "GET", g_strdup (KR_PATH_TYPES), NULL, TRUE, cancel, reply, data);
}

void
kr_cloud_rent (KrCloud *c, const char *request, const char *type, const char *zone, gboolean spot,
               guint count, GCancellable *cancel, KrReply reply, gpointer data)
{
  start (c, "POST", g_strdup (KR_PATH_RENT), kr_wire_rental (request, type, zone, spot, count),
         FALSE, cancel, reply, data);
}

void
kr_cloud_delete (KrCloud *c, char **ids, GCancellable *cancel, KrReply reply, gpointer data)
{
  start (c, "POST", g_strdup (KR_PATH_DELETE), kr_wire_deletion (ids), TRUE, cancel, reply, data);
}

/* --- the list, page by page ---------------------------------------------------------- */
typedef struct {
  KrCloud *cloud;
  GPtrArray *machines;
  GCancellable *cancel;
  KrCloudListed listed;
  gpointer data;
} Listing;

static void next_page (Listing *l);

static void
page_done (guint status, json_t *body, gpointer data)
{
  Listing *l = data;
  gboolean more = FALSE, ok = status == 200 && kr_wire_list_parse (body, l->machines, &more);

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
      l->machines->len ? ((KrMachine *) l->machines->pdata[l->machines->len - 1])->id : NULL;
  start (l->cloud, "GET", kr_wire_list_path (after, KR_LIST_PAGE), NULL, FALSE, l->cancel,
         page_done, l);
}

void
kr_cloud_list (KrCloud *c, GCancellable *cancel, KrCloudListed listed, gpointer data)
{
  Listing *l = g_new (Listing, 1);
  *l = (Listing){ c, g_ptr_array_new_with_free_func (kr_machine_free),
                  cancel ? g_object_ref (cancel) : NULL, listed, data };
  next_page (l);
}
