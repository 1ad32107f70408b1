"""Invalid settings and documents are refused with file, line, key and remedy."""

import pytest

from cardamomrun_base.documents import load_document
from cardamomrun_base.errors import DocumentError, SettingsError
from cardamomrun_base.settings import load_settings

from .builders import document_value, settings_value, to_text

BAD_SETTINGS = [
    ("unknown key", to_text(settings_value(colour="red")), "colour"),
    ("wrong type", to_text(settings_value(front_port="many")), "front_port"),
    ("out of bound", to_text(settings_value(front_port=70_000)), "front_port"),
    ("wrong unit", to_text(settings_value(report_ms="500 s")), "report_ms"),
    ("host name", to_text(settings_value(host="example.org")), "host"),
    ("nested", to_text(settings_value(fleet={"key_file": "k", "x": 1})), "fleet.x"),
    ("no control part", to_text(settings_value(roles=["control"])), "control"),
    ("duplicate key", '{"host": "127.0.0.1",\n "host": "127.0.0.2"}', "line 2"),
    ("not JSON", '{"host": ,,}', "JSON"),
]

BAD_DOCUMENTS = [
    ("unknown key", document_value(colour="red"), "colour"),
    ("unknown route key", document_value(routes=[{"prefix": "/", "x": 1}]), "routes.0"),
    ("ratio above 1", document_value(floor={"healthy_ratio": 1.5}), "healthy_ratio"),
    ("prefix", document_value(routes=[{"prefix": "x"}]), "routes.0.prefix"),
    ("same route", document_value(routes=[{"prefix": "/"}] * 2), "routes.1"),
    ("profile", document_value(profile="brave"), "profile"),
    ("no hosts", document_value(hosts=[]), "hosts"),
]


@pytest.mark.parametrize(("case", "text", "location"), BAD_SETTINGS)
def test_bad_settings_name_file_key_and_remedy(tmp_path, case, text, location):
    """Guards against a node that starts with settings its operator did not intend."""
    path = tmp_path / "node.jsonc"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(path) in caught.value.message
    assert location in str(caught.value)
    assert caught.value.remedy
    assert caught.value.exit_code == 3


def test_unreadable_settings_name_the_file(tmp_path):
    """Guards against a bare traceback when the path is wrong."""
    with pytest.raises(SettingsError, match=r"missing\.jsonc"):
        load_settings(tmp_path / "missing.jsonc")


def test_relative_paths_are_relative_to_the_file(tmp_path):
    """Guards against settings that work only in one working directory."""
    path = tmp_path / "node.jsonc"
    path.write_text("// comment\n" + to_text(settings_value()))
    settings = load_settings(path)
    assert settings.fleet.key_file == tmp_path / "fleet.key"
    assert settings.announcement_tokens_file == tmp_path / "tokens.jsonc"


@pytest.mark.parametrize(("case", "value", "location"), BAD_DOCUMENTS)
def test_bad_documents_name_the_key(case, value, location):
    """Guards against a document that is partly accepted."""
    with pytest.raises(DocumentError) as caught:
        load_document(to_text(value).encode(), "rota-desk.jsonc")
    assert "rota-desk.jsonc" in caught.value.message
    assert location in caught.value.message


def test_document_error_names_the_line():
    """Guards against errors that make the operator search a long document."""
    text = (
        '{\n "service": "rota-desk",\n "hosts": ["h"],\n "routes": [\n  {"prefix": 7}]}'
    )
    with pytest.raises(DocumentError, match="line 5"):
        load_document(text.encode(), "d")
