/**
 * Reading and checking of JSON settings.
 */
@NullMarked
package org.masticshelf.transport.settings;

import org.jspecify.annotations.NullMarked;
