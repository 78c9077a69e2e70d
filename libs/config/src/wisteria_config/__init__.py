"""The one configuration document: model, validation, differences, dissemination."""
