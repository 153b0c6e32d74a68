/**
 * The connections to endpoints and what the platform's protocol adds to requests and
 * answers.
 */
@NullMarked
package org.masticshelf.serving.upstream;

import org.jspecify.annotations.NullMarked;
