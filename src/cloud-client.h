/* Client of the cloud API. It limits its requests to this node's share of the rate limit that holds
 * for all nodes together. A request that the rate limiter refuses completes with status 429. */
#pragma once
#include "http-client.h"
#include "wire.h"

typedef struct KrCloudClient KrCloudClient;
KrCloudClient *kr_cloud_new (const KrSettings *settings);
void kr_cloud_free (KrCloudClient *cloud);
/* Requests the machine types; kr_wire_types_parse() reads the response. */
void kr_cloud_list_types (KrCloudClient *cloud, GCancellable *cancel,
                          KrHttpResponseFunc on_response, gpointer data);
/* `machines` is an array of KrListedMachine, or NULL if the list could not be read completely. It
 * is freed after the call; the callee may keep its elements by removing the array's free function.
 */
typedef void (*KrCloudListFunc) (GPtrArray *machines, gpointer data);
/* Reads the list of all rented machines, page by page. */
void kr_cloud_list_machines (KrCloudClient *cloud, GCancellable *cancel, KrCloudListFunc on_listed,
                             gpointer data);
/* Rents `count` machines. A request that is repeated under the same name `request` is carried out
 * only once; kr_wire_rental_machines() reads the response. */
void kr_cloud_rent (KrCloudClient *cloud, const char *request, const char *type, const char *zone,
                    gboolean spot, guint count, GCancellable *cancel,
                    KrHttpResponseFunc on_response, gpointer data);
/* Deletes the machine. Status 200 confirms that it no longer exists. Deletions requested at about
 * the same time, or while a call waits for the rate limiter, are sent in one call. */
void kr_cloud_delete (KrCloudClient *cloud, const char *id, GCancellable *cancel,
                      KrHttpResponseFunc on_response, gpointer data);
/* Sets this node's share (0 to 1) of the request rate of all nodes together. */
void kr_cloud_set_rate_share (KrCloudClient *cloud, double share);
