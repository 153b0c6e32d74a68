/**
 * Admission of requests and their forwarding between callers and endpoints.
 */
@NullMarked
package org.masticshelf.serving.request;

import org.jspecify.annotations.NullMarked;
