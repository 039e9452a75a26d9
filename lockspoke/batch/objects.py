"""JSON objects of the Files, Uploads and Batch APIs, as the public API of OpenAI defines them."""

from __future__ import annotations

from typing import Any

from .records import Batch, BatchStatus, File, LineStatus, Upload

# Statuses for which a batch object has a member with the time of entry, in the order of these members.
_TIMED_STATUSES = (
    BatchStatus.IN_PROGRESS,
    BatchStatus.FINALIZING,
    BatchStatus.COMPLETED,
    BatchStatus.FAILED,
    BatchStatus.EXPIRED,
    BatchStatus.CANCELLING,
    BatchStatus.CANCELLED,
)


def file_object(file: File) -> dict[str, Any]:
    """The object of a file."""
    return {
        "id": file.id,
        "object": "file",
        "bytes": file.bytes,
        "created_at": file.created_at,
        "filename": file.filename,
        "purpose": file.purpose,
        "status": "processed",
    }


def deleted_file_object(file: File) -> dict[str, Any]:
    """The object that confirms the deletion of a file."""
    return {"id": file.id, "object": "file", "deleted": True}


def upload_object(upload: Upload, file: File | None) -> dict[str, Any]:
    """The object of an upload, including its file if the upload is completed."""
    return {
        "id": upload.id,
        "object": "upload",
        "bytes": upload.bytes,
        "created_at": upload.created_at,
        "filename": upload.filename,
        "purpose": upload.purpose,
        "status": upload.status,
        "expires_at": upload.expires_at,
        "file": None if file is None else file_object(file),
    }


def part_object(upload: Upload, part_id: str) -> dict[str, Any]:
    """The object of a part of an upload."""
    return {
        "id": part_id,
        "object": "upload.part",
        "created_at": upload.created_at,
        "upload_id": upload.id,
    }


def batch_object(batch: Batch) -> dict[str, Any]:
    """The object of a batch."""
    times = {f"{status}_at": batch.entered_at.get(status) for status in _TIMED_STATUSES}
    served = batch.line_counts.get(LineStatus.SERVED, 0)
    return {
        "id": batch.id,
        "object": "batch",
        "endpoint": batch.endpoint,
        "errors": {"object": "list", "data": batch.errors} if batch.errors else None,
        "input_file_id": batch.input_file_id,
        "completion_window": batch.completion_window,
        "status": batch.status,
        "output_file_id": batch.output_file_id or None,
        "error_file_id": batch.error_file_id or None,
        "created_at": batch.created_at,
        "expires_at": batch.expires_at,
        **times,
        "request_counts": {
            "total": batch.total,
            "completed": served,
            "failed": sum(batch.line_counts.values()) - served,
        },
        "metadata": batch.metadata or None,
    }


def list_object(objects: list[dict[str, Any]], has_more: bool) -> dict[str, Any]:
    """The object of one page of a listing."""
    return {
        "object": "list",
        "data": objects,
        "first_id": objects[0]["id"] if objects else None,
        "last_id": objects[-1]["id"] if objects else None,
        "has_more": has_more,
    }
