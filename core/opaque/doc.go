// Package opaque defines requests whose content is forwarded unread, and the metadata of their replies.
package opaque
