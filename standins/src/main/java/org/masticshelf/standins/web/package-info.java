/**
 * What the HTTP stand-ins share: starting a server, reading and answering JSON.
 */
@NullMarked
package org.masticshelf.standins.web;

import org.jspecify.annotations.NullMarked;
